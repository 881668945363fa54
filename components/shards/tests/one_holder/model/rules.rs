//! Rules that the simulation can disable, to show that each is needed.

/// A rule on which the safety of the shard manager rests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Rule {
    /// Grants end no later than the lease, counted from the sending of its renewal.
    GrantWithinLease,
    /// The last renewal has expired before keys of a fenced machine move.
    WaitAfterFence,
    /// The lease of an unreachable machine is fenced before its keys move.
    FenceBeforeReassigning,
    /// Keys leave a back end only once it no longer holds them.
    ReleaseBeforeTransfer,
    /// A new process writes the assignment under a new epoch before it grants.
    WriteBeforeGranting,
    /// A new incarnation of a back end gets new fencing tokens.
    NewFencePerIncarnation,
    /// A process without memory waits until every lease of an earlier era has expired before it
    /// assigns keys that nobody has claimed.
    WaitForEarlierLeases,
    /// Only a machine whose lease of the earlier era is valid claims its keys.
    ClaimWithValidLease,
    /// Keys that a write without an outcome hands over are not claimed.
    KeepHandoversWithoutOutcome,
    /// Keys whose handover was in flight at the end of an era are claimed only if the store refused it.
    GiveBackRefusedOnly,
    /// Late requests of an earlier era do not change objects of this one.
    KindsPerEra,
    /// A response counts only in the era in which the request was sent.
    OutcomesOfTheirEra,
    /// Fencing tokens of a later era are higher.
    FencesCarryEra,
}
