//! The order in which a connection writes, and the bodies that the receiver puts together.

use bytes::{Bytes, BytesMut};
use node::body_assembly::{BodyAssembly, BodyError};
use node::frame::{self, Frame, MAX_FRAME_BYTES};
use node::link_queue::{LinkQueue, WRITE_BYTES, Write};
use rstest::rstest;

/// Writes among which each queue that is not empty has one.
const WINDOW: usize = 8;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    Control,
    Small,
    Part,
}

/// Returns a frame that fills one write.
fn full_frame(kind: Kind) -> Bytes {
    Bytes::from(vec![kind as u8; WRITE_BYTES])
}

fn kind(write: &Write) -> Kind {
    match write {
        Write::Part { .. } => Kind::Part,
        Write::Frames(frames) if frames[0] == Kind::Control as u8 => Kind::Control,
        Write::Frames(_) => Kind::Small,
    }
}

fn all_writes(queue: &mut LinkQueue) -> Vec<Write> {
    std::iter::from_fn(|| queue.next_write()).collect()
}

fn joined_frames(queue: &mut LinkQueue) -> Vec<u8> {
    let mut joined = Vec::new();
    for write in all_writes(queue) {
        match write {
            Write::Frames(frames) => joined.extend_from_slice(&frames),
            Write::Part { head, bytes, .. } => {
                joined.extend_from_slice(&head.unwrap_or_default());
                joined.extend_from_slice(&bytes);
            }
        }
    }
    joined
}

// Guards against calls, leases and pings that wait for the end of a large response.
#[test]
fn small_frames_go_between_the_parts_of_a_body() {
    let mut queue = LinkQueue::default();
    queue.push_body(1, Bytes::from_static(b"head"), vec![7; 540_000].into());
    assert_eq!(queue.next_write().as_ref().map(kind), Some(Kind::Part));
    queue.push_small(0, 2, full_frame(Kind::Small));
    queue.push_control(full_frame(Kind::Control));
    let next: Vec<Kind> = all_writes(&mut queue).iter().map(kind).collect();
    assert_eq!(next[..3], [Kind::Control, Kind::Small, Kind::Part]);
    assert_eq!(queue.queued_bytes(), 0);
}

// Guards against a queue that never writes while another one is always full.
#[rstest]
#[case::bodies_beside_control(&[Kind::Control, Kind::Part])]
#[case::bodies_beside_calls(&[Kind::Small, Kind::Part])]
#[case::calls_beside_control(&[Kind::Control, Kind::Small])]
#[case::all(&[Kind::Control, Kind::Small, Kind::Part])]
fn each_queue_has_one_of_eight_writes(#[case] filled: &[Kind]) {
    let mut queue = LinkQueue::default();
    let contents = 100;
    // The other queues are filled first, so that they do not wait for earlier control frames.
    if filled.contains(&Kind::Part) {
        queue.push_body(1, Bytes::new(), vec![0; contents * WRITE_BYTES].into());
    }
    for _ in 0..contents {
        if filled.contains(&Kind::Small) {
            queue.push_small(1, 2, full_frame(Kind::Small));
        }
    }
    for _ in 0..contents {
        if filled.contains(&Kind::Control) {
            queue.push_control(full_frame(Kind::Control));
        }
    }
    let writes: Vec<Kind> = (0..contents)
        .filter_map(|_| queue.next_write())
        .map(|w| kind(&w))
        .collect();
    for window in writes.windows(WINDOW) {
        for kind in filled {
            assert!(window.contains(kind), "{kind:?} in {window:?}");
        }
    }
}

// Guards against a retry of a request before the report of the crash that it caused.
#[rstest]
#[case::small(false)]
#[case::large(true)]
fn a_response_follows_the_control_frames_queued_before_it(#[case] is_large: bool) {
    let mut queue = LinkQueue::default();
    for _ in 0..3 * WINDOW {
        queue.push_control(full_frame(Kind::Control));
    }
    if is_large {
        queue.push_body(
            1,
            Bytes::from_static(b"head"),
            vec![0; WRITE_BYTES + 1].into(),
        );
    } else {
        queue.push_small(0, 1, full_frame(Kind::Small));
    }
    let writes = all_writes(&mut queue);
    let controls = writes.iter().take_while(|w| kind(w) == Kind::Control);
    assert_eq!(controls.count(), 3 * WINDOW);
}

#[test]
fn a_hello_is_written_first() {
    let mut queue = LinkQueue::default();
    queue.push_control(Bytes::from_static(b"hello "));
    queue.push_small(0, 1, Bytes::from_static(b"call "));
    queue.push_control(Bytes::from_static(b"status "));
    assert_eq!(joined_frames(&mut queue), b"hello status call ");
}

#[test]
fn requests_of_a_higher_rank_go_first_and_in_order() {
    let mut queue = LinkQueue::default();
    for (rank, frame) in [(2, "c"), (0, "a"), (1, "b"), (0, "A"), (2, "C")] {
        queue.push_small(rank, 1, Bytes::from_static(frame.as_bytes()));
    }
    assert_eq!(joined_frames(&mut queue), b"aAbcC");
}

#[test]
fn bodies_take_turns_and_keep_their_bytes() {
    let mut queue = LinkQueue::default();
    let bodies = [vec![1; 3 * WRITE_BYTES], vec![2; WRITE_BYTES + 1]];
    for (id, body) in (1..).zip(&bodies) {
        queue.push_body(id, Bytes::from_static(b"head"), body.clone().into());
    }
    // A second copy of a response while the first one is under way.
    queue.push_body(1, Bytes::from_static(b"head"), bodies[0].clone().into());
    let mut ids = Vec::new();
    let mut received = [Vec::new(), Vec::new()];
    for write in all_writes(&mut queue) {
        let Write::Part { head, id, bytes } = write else {
            panic!("only bodies are queued");
        };
        assert_eq!(head.is_some(), !ids.contains(&id), "a head comes once");
        assert!(bytes.len() <= WRITE_BYTES);
        received[id as usize - 1].extend_from_slice(&bytes);
        ids.push(id);
    }
    assert_eq!(ids, [1, 2, 1, 2, 1]);
    assert_eq!(received, bodies);
}

// Guards against parts of a response that are sent although nobody waits for them.
#[test]
fn a_stopped_body_sends_no_more_than_its_end() {
    let mut queue = LinkQueue::default();
    for id in [1, 2] {
        queue.push_body(
            id,
            Bytes::from_static(b"head"),
            vec![0; 9 * WRITE_BYTES].into(),
        );
    }
    queue.push_small(0, 3, Bytes::from_static(b"response"));
    assert!(matches!(queue.next_write(), Some(Write::Frames(_))));
    assert!(matches!(
        queue.next_write(),
        Some(Write::Part { id: 1, .. })
    ));
    queue.push_small(0, 3, Bytes::from_static(b"response"));
    for id in [1, 2, 3] {
        queue.stop(id);
    }
    let end = Write::Part {
        head: None,
        id: 1,
        bytes: Bytes::new(),
    };
    assert_eq!(all_writes(&mut queue), [end]);
    assert_eq!(queue.queued_bytes(), 0);
}

#[rstest]
#[case(1, 1)]
#[case(300, WRITE_BYTES)]
#[case(u64::MAX, 0)]
fn a_part_is_decoded_that_was_encoded_without_a_copy(#[case] id: u64, #[case] length: usize) {
    let bytes = Bytes::from(vec![9; length]);
    let prefix = frame::encode_part_prefix(id, length).expect("encodable");
    let whole = [&prefix[..], &bytes[..]].concat();
    let expected = frame::encode(&Frame::BodyPart { id, bytes }).expect("a short frame");
    assert_eq!(whole, expected);
    let decoded = frame::decode(&mut BytesMut::from(&whole[..])).expect("well-formed");
    assert!(
        matches!(decoded, Some(Frame::BodyPart { id: i, bytes }) if i == id && bytes.len() == length)
    );
}

#[test]
fn interleaved_parts_form_their_bodies() {
    let mut assembly = BodyAssembly::default();
    assembly.begin(1, "one", 4).expect("a new body");
    assembly.begin(2, "two", 2).expect("a new body");
    assert_eq!(assembly.append(1, b"ab"), Ok(None));
    assert_eq!(
        assembly.append(2, b"xy"),
        Ok(Some(("two", Bytes::from_static(b"xy"))))
    );
    assert_eq!(assembly.held_bytes(), 2);
    assert_eq!(
        assembly.append(1, b"cd"),
        Ok(Some(("one", Bytes::from_static(b"abcd"))))
    );
    assert_eq!(assembly.append(1, b"e"), Err(BodyError::NoHead { id: 1 }));
}

// Guards against a peer that has this process hold more than it has announced.
#[test]
fn parts_that_do_not_fit_are_errors() {
    let mut assembly = BodyAssembly::default();
    assembly.begin(1, (), 4).expect("a new body");
    assert_eq!(assembly.begin(1, (), 4), Err(BodyError::Repeated { id: 1 }));
    assert_eq!(
        assembly.append(1, b"abcde"),
        Err(BodyError::Overlong { id: 1 })
    );
    let length = MAX_FRAME_BYTES as u64 + 1;
    assert_eq!(
        assembly.begin(2, (), length),
        Err(BodyError::TooLong { length })
    );
    assert_eq!(assembly.append(2, b"a"), Err(BodyError::NoHead { id: 2 }));
}

// Guards against a body without caller that is held, or a connection that ends for its parts.
#[test]
fn parts_of_a_discarded_body_are_not_held() {
    let mut assembly = BodyAssembly::default();
    assembly.begin(1, (), 6).expect("a new body");
    assert_eq!(assembly.append(1, b"ab"), Ok(None));
    assembly.discard(1);
    assert_eq!(assembly.append(1, b"cd"), Ok(None));
    assert_eq!(assembly.held_bytes(), 0);
    assert_eq!(assembly.append(1, b"ef"), Ok(None));
    assembly.begin(1, (), 2).expect("the first one is complete");
    assert_eq!(assembly.append(1, b""), Ok(None), "stopped by the sender");
    assembly.begin(1, (), 2).expect("the second one has ended");
    assembly.remove(1);
    assert_eq!(
        assembly.append(1, b""),
        Ok(None),
        "stopped after its cancellation"
    );
}

// Guards against small frames that wait while the link is busy with bodies, and bodies that never go on.
#[test]
fn while_bodies_are_paused_other_frames_are_written() {
    let mut queue = LinkQueue::default();
    queue.push_body(1, Bytes::from_static(b"head"), Bytes::from_static(b"body"));
    queue.push_small(0, 2, Bytes::from_static(b"small"));
    queue.pause_bodies(true);
    let small = Write::Frames(Bytes::from_static(b"small"));
    assert_eq!(queue.next_write(), Some(small));
    assert_eq!(queue.next_write(), None);
    assert!(queue.has_bodies());
    queue.pause_bodies(false);
    assert!(matches!(
        queue.next_write(),
        Some(Write::Part { id: 1, .. })
    ));
    assert!(!queue.has_bodies());
}
