//! Recognition of requests that crash the back ends that run them.
//!
//! A [`Fingerprint`](fingerprint::Fingerprint) is the same for all attempts of a request.

pub mod fingerprint;
pub mod interrupted;
