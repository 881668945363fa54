//! What a process does when the store is restored from a snapshot.

#[path = "../common/mod.rs"]
mod common;
mod configuration_requests;
mod denials;
mod fake_peer;
mod first_configuration;
mod known;
mod peers;
mod relay;
mod rewrites;
mod small_store;
mod watches;

use shards::revision::StoreEra;

fn era(number: u64) -> StoreEra {
    StoreEra::new(number).expect("a small number")
}
