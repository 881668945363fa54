//! Orders run at most once: tickets and the table of orders that an owner remembers.

pub mod handover;
pub mod table;
pub mod ticket;
