//! Plans' allowances and how one daemon lends them to the others.

pub mod bucket;
pub mod purse;
