//! Rate limits of plans: one daemon accounts for a customer's allowance and lends
//! blocks of tokens to the others.

pub mod bucket;
pub mod token_cache;
