//! Ranks order requests by priority, calls first among equal ones, and survive their encodings.

use admission::rank::Rank;

// Guards against calls of unimportant requests that go before important new requests.
#[test]
fn calls_go_before_new_requests_of_their_priority_only() {
    let ranks: Vec<Rank> = (0..=Rank::LOWEST_PRIORITY)
        .map(Rank::request)
        .flat_map(|rank| [rank.of_call(), rank])
        .collect();
    let orders: Vec<u8> = ranks.iter().map(|r| r.order()).collect();
    assert!(orders.is_sorted_by(|a, b| a < b), "{orders:?}");
}

#[test]
fn a_call_of_a_call_has_the_rank_of_its_parent() {
    let call = Rank::request(2).of_call();
    assert_eq!(call.of_call(), call);
    assert_eq!(call.priority(), 2);
}

#[test]
fn encodings_keep_the_rank() {
    for priority in 0..=Rank::LOWEST_PRIORITY {
        for rank in [Rank::request(priority), Rank::request(priority).of_call()] {
            assert_eq!(Rank::decode(rank.encode()), rank);
            assert_eq!(Rank::from_order(rank.order()), rank);
        }
    }
}

// Guards against an older process that orders new requests differently, since it sends and takes
// the priority alone.
#[test]
fn a_new_request_is_encoded_as_its_priority() {
    for priority in 0..=Rank::LOWEST_PRIORITY {
        assert_eq!(Rank::request(priority).encode(), priority);
    }
}

// Guards against priorities beyond the encodable ones that are taken for calls.
#[test]
fn a_priority_beyond_the_lowest_counts_as_the_lowest() {
    let rank = Rank::request(u8::MAX);
    assert_eq!(rank, Rank::request(Rank::LOWEST_PRIORITY));
    assert!(!rank.is_call());
}
