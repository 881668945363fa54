//! One module a case.

pub mod clock_back;
pub mod deregister;
pub mod foreign_check_in;
pub mod foreign_service;
pub mod large_body;
pub mod large_frame;
pub mod late_copy;
pub mod limit;
pub mod log_reader;
pub mod silent_store;
pub mod stop;
