//! At-most-once execution of orders: signed tickets, and the table in which the owner of a shard
//! records the state of every order with a valid ticket.

pub mod handover;
pub mod table;
pub mod ticket;
