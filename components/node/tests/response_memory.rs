//! Incomplete responses of a back end stay within their share of the process's memory.

use node::response_memory::ResponseMemory;

/// Memory of a small machine.
const PROCESS_MEMORY: u64 = 160_000_000;
/// What one read of a connection adds.
const READ_BYTES: usize = 65_536;

// Guards against a process that is ended for its memory by a few back-end responses without end.
#[test]
fn endless_responses_are_evicted_and_others_go_on() {
    let memory = ResponseMemory::new(PROCESS_MEMORY);
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
    let memory = ResponseMemory::new(PROCESS_MEMORY);
    let large = memory.share();
    assert!(large.resize(memory.limit() - 1));
    let small = memory.share();
    assert!(small.resize(1_000));
    large.evicted().await;
    drop(large);
    assert_eq!(memory.in_use(), 1_000);
}
