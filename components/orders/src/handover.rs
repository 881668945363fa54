//! What one tenure tells the next about its orders when a shard moves as planned.

use std::time::Duration;

use world::key::Fence;

use crate::table::Recorded;
use crate::ticket::{Nonce, Scope};

/// Orders of a tenure that has ended, for the one tenure that follows it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Handover {
    /// Tenures whose tickets are listed in full.
    pub fences: Vec<HandedFence>,
    /// The tickets, those that expire first in front.
    pub orders: Vec<HandedOrder>,
}

/// A tenure whose tickets are handed over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HandedFence {
    /// Its fence.
    pub fence: Fence,
    /// Time after which none of its tickets is valid.
    pub remaining: Duration,
}

/// A ticket with what became of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HandedOrder {
    /// Number of the order.
    pub nonce: Nonce,
    /// What the ticket may be used for.
    pub scope: Scope,
    /// How far the order has come.
    pub progress: Progress,
    /// Time until the ticket expires.
    pub remaining: Duration,
}

/// How far an order had come when its tenure ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Progress {
    /// It was never started, or is proved not to have run.
    Issued,
    /// It ran.
    Answered(Recorded),
    /// It ran, and its answer was not kept.
    Dropped,
    /// It was started and its end is not known.
    Unknown,
}
