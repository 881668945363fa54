//! Instants, back ends and stored objects of the tests.

use shards::incarnation::BackEndIncarnation;
use shards::manager::Versioned;
use shards::revision::Revision;
use world::instant::BootInstant;

/// Returns the instant `ms` milliseconds after the start of a test.
pub(crate) fn at(ms: u64) -> BootInstant {
    BootInstant::from_millis(1_000_000 + ms)
}

/// Returns the first incarnation of a back end.
pub(crate) fn incarnation(id: &str) -> BackEndIncarnation {
    BackEndIncarnation {
        id: id.to_owned(),
        born: 1,
    }
}

/// Returns an object as the store has it in its first era.
pub(crate) fn stored<T>(revision: u32, value: T) -> Versioned<T> {
    let revision = Revision::from(revision);
    Versioned { revision, value }
}
