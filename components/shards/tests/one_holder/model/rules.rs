//! Rules that the model can leave out, to show that each is needed.

/// A rule of the shard manager's safety argument.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Rule {
    /// Grants end with the lease, counted from the sending of its renewal.
    GrantWithinLease,
    /// The last renewal has run out before keys of a fenced machine move.
    WaitAfterFence,
    /// The lease of a silent machine is fenced before its keys move.
    FenceBeforeTaking,
    /// Keys leave a back end only once it no longer holds them.
    KeysReleasedFirst,
    /// A new process writes the assignment under a new epoch before it grants.
    WriteBeforeGranting,
    /// A new boot of a back end gets new fences.
    FenceRisesWithLife,
}
