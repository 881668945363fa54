//! Incomplete responses of a back end stay within their share of the process's memory.

use node::memory::{Holding, MemoryAccount};

/// Memory of a small machine.
const PROCESS_MEMORY: u64 = 160_000_000;
/// What one read of a connection adds.
const READ_BYTES: usize = 65_536;

// Guards against a process that is ended for its memory by a few back-end responses without end.
#[test]
fn endless_responses_are_evicted_and_others_go_on() {
    let memory = MemoryAccount::of_responses(PROCESS_MEMORY, None);
    let sound = memory.share();
    assert!(sound.resize(500_000));
    let mut endless: Vec<_> = (0..12).map(|_| (memory.share(), 0)).collect();
    let mut peak = 0;
    while !endless.is_empty() {
        endless.retain_mut(|(share, bytes)| {
            *bytes += READ_BYTES;
            let kept = share.resize(*bytes);
            peak = peak.max(memory.in_use());
            kept && *bytes < 4 * memory.limit()
        });
        assert!(sound.resize(500_000), "a sound response was evicted");
    }
    assert!(peak <= memory.limit() + 12 * READ_BYTES, "{peak} bytes");
    assert!(memory.limit() <= 10_000_000);
    drop(endless);
    assert_eq!(memory.in_use(), 500_000);
}

#[tokio::test]
async fn the_largest_response_is_evicted_while_it_waits_for_more() {
    let memory = MemoryAccount::of_responses(PROCESS_MEMORY, None);
    let large = memory.share();
    assert!(large.resize(memory.limit() - 1));
    let small = memory.share();
    assert!(small.resize(1_000));
    large.evicted().await;
    drop(large);
    assert_eq!(memory.in_use(), 1_000);
}

// Guards against requests that are dropped although they are being handled, and against ordinary ones
// that find no room beside large ones.
#[test]
fn accepted_requests_stay_and_small_ones_use_the_reserve() {
    let memory = MemoryAccount::of_messages(PROCESS_MEMORY);
    let accepted = memory.share();
    accepted.hold(Holding::Accepted);
    assert!(accepted.resize(memory.limit()));
    let unread = memory.share();
    unread.hold(Holding::Unread);
    let small = memory.share();
    assert!(small.resize(1_000));
    let large = memory.share();
    assert!(!large.resize(1_000_000));
    assert!(!unread.resize(1_000_000));
    assert!(accepted.resize(memory.limit()) && small.resize(1_000));
}

// Guards against unread responses that are cut off while incomplete requests could go instead.
#[test]
fn incomplete_requests_go_before_unread_responses() {
    let memory = MemoryAccount::of_messages(PROCESS_MEMORY);
    let unread = memory.share();
    unread.hold(Holding::Unread);
    assert!(unread.resize(memory.limit() - 100_000));
    let incomplete = memory.share();
    assert!(!incomplete.resize(200_000));
    assert!(unread.resize(memory.limit() - 100_000));
}
