//! Recognition of requests that crash the back ends that run them.
//!
//! A [`fingerprint`] is the same for all attempts of a request. Requests whose connections broke are
//! kept as [`interrupted`] until it is known whether their back end has exited; each exit then adds
//! to the [`crash_count`] of these requests, from which the [`quarantine`] decides whether a request
//! may be sent, and beside which others. A request under which several back ends [exited](exits) at
//! once is on [`trial`]: it runs at one machine at a time.

pub mod crash_count;
pub mod exits;
pub mod fingerprint;
pub mod interrupted;
pub mod quarantine;
pub mod trial;
