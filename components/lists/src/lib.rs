//! Parses and checks the two lists that operators edit: the plan of each customer, and what
//! each plan allows.

pub mod diagnostic;
pub mod document;

/// Name of the stored object that holds the lists document.
pub const LISTS_OBJECT: &str = "lists";

/// Largest document in bytes; the store accepts values of up to 1 MiB.
pub const MAX_DOCUMENT_BYTES: usize = 1 << 20;
