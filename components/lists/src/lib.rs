//! The two lists that operators edit: plans held by customers, and what each plan may use.

pub mod document;
pub mod fault;

/// Name of the object that holds the lists in the store.
pub const LISTS_OBJECT: &str = "lists";

/// Largest document in bytes; the store holds values of up to a megabyte.
pub const MAX_DOCUMENT_BYTES: usize = 1 << 20;
