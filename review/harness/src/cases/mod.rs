//! One module a case.

pub mod foreign_check_in;
pub mod foreign_service;
pub mod large_body;
pub mod log_reader;
pub mod silent_store;
pub mod stop;
