//! Frames between processes of this version and of versions without features.

use bytes::{BufMut, BytesMut};
use node::frame::{self, Features, Frame, NodeStatus, RejectReason, RequestOutcome};
use node::peer::Peer;
use node::suspects::{self, CrashReport};
use platform::store::{RequestError, StoreResponse};
use quarantine::crash_count::CrashCount;
use quarantine::exits::BackEndHash;
use quarantine::fingerprint::{Fingerprint, RequestIdentity};
use rstest::rstest;
use shards::lease::Lease;
use shards::revision::StoreEra;
use world::name::{MachineName, RegionName, ServiceName, ZoneName};

fn hello(features: Features) -> Frame {
    Frame::Hello(Box::new(NodeStatus {
        machine: MachineName::new("m"),
        region: RegionName::new("r"),
        zone: ZoneName::new("z"),
        service: ServiceName::new("s"),
        address: ([127, 0, 0, 1], 1).into(),
        incarnation: 7,
        version: 1,
        back_end: None,
        lease: None,
        catalog_version: 0,
        store_reachable: true,
        leaving: false,
        utilization_eighths: 3,
        features,
    }))
}

fn decode_hello(bytes: &[u8]) -> NodeStatus {
    match frame::decode(&mut BytesMut::from(bytes)) {
        Ok(Some(Frame::Hello(status))) => *status,
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_hello_tells_the_features_of_its_sender() {
    let bytes = frame::encode(&hello(Features::SUPPORTED)).expect("a short frame");
    let status = decode_hello(&bytes);
    assert_eq!(status.features, Features::SUPPORTED);
    assert_eq!(status.utilization_eighths, 3);
}

// Guards against links between two versions that break as soon as one sends what the other does not
// decode.
#[test]
fn a_hello_without_features_is_decoded_as_one_of_an_earlier_version() {
    let body = postcard::to_stdvec(&hello(Features::default())).expect("an encodable frame");
    let mut bytes = BytesMut::new();
    bytes.put_u32(u32::try_from(body.len()).expect("a short frame"));
    bytes.extend_from_slice(&body);
    assert_eq!(decode_hello(&bytes).features, Features::default());
}

#[test]
fn an_earlier_version_decodes_a_hello_with_features() {
    let bytes = frame::encode(&hello(Features::SUPPORTED)).expect("a short frame");
    let decoded: Frame = postcard::from_bytes(&bytes[4..]).expect("bytes after it are ignored");
    assert!(matches!(decoded, Frame::Hello(status) if status.incarnation == 7));
}

#[rstest]
#[case::blocked(RejectReason::Blocked, false, RejectReason::Expired)]
#[case::isolated(RejectReason::Isolated, false, RejectReason::Full)]
#[case::turned_away(RejectReason::TurnedAway, false, RejectReason::NoBackEnd)]
#[case::turned_away_with_key(RejectReason::TurnedAway, true, RejectReason::NotHolder)]
#[case::common(RejectReason::NotHolder, true, RejectReason::NotHolder)]
fn an_earlier_version_gets_reasons_that_it_knows(
    #[case] reason: RejectReason,
    #[case] keyed: bool,
    #[case] expected: RejectReason,
) {
    let outcome = RequestOutcome::NotRun {
        reason,
        retry_ms: 5,
    };
    let unchanged = outcome.clone().for_features(Features::SUPPORTED, keyed);
    assert!(matches!(unchanged, RequestOutcome::NotRun { reason: r, .. } if r == reason));
    let converted = outcome.for_features(Features::default(), keyed);
    assert!(matches!(converted, RequestOutcome::NotRun { reason: r, .. } if r == expected));
}

fn crash_report() -> CrashReport {
    let identity = RequestIdentity {
        method: b"GET",
        host: b"h",
        target: b"/a",
        caller: b"c",
        body: b"",
    };
    CrashReport {
        fingerprint: Fingerprint::new(&identity),
        count: CrashCount::default().after_crash(BackEndHash::new("b", 1), 0),
        age_ms: 5,
    }
}

// Guards against links to an earlier version that break at the first crash of a back end.
#[rstest]
#[case::none(false, false, None)]
#[case::counts(true, false, Some(0))]
#[case::counts_and_exits(true, true, Some(1))]
fn an_earlier_version_gets_the_reports_that_it_decodes(
    #[case] crash_reports: bool,
    #[case] crash_exits: bool,
    #[case] expected_exits: Option<usize>,
) {
    let features = Features {
        crash_reports,
        crash_exits,
        ..Features::default()
    };
    let report = crash_report();
    let decoded = suspects::report_frame(&[report], features).map(|sent| {
        let bytes = frame::encode(&sent).expect("a short frame");
        let decoded = frame::decode(&mut BytesMut::from(&bytes[..]));
        decoded.expect("well-formed").expect("complete")
    });
    let exits = decoded.map(|frame| match frame {
        Frame::CrashReports(reports) => reports[0].count.exits.count(),
        Frame::CrashReportsWithExits(reports) => reports[0].1.count(),
        other => panic!("{other:?}"),
    });
    assert_eq!(exits, expected_exits);
}

fn status() -> NodeStatus {
    match hello(Features::SUPPORTED) {
        Frame::Hello(status) => *status,
        other => panic!("{other:?}"),
    }
}

// Guards against traffic of whole statuses with each renewal of a lease, from each machine to each.
#[test]
fn a_renewed_lease_takes_a_quarter_of_a_hello() {
    let previous = NodeStatus {
        machine: MachineName::new("machine-of-an-availability-zone-1"),
        region: RegionName::new("region"),
        zone: ZoneName::new("availability-zone"),
        service: ServiceName::new("service"),
        lease: Some((70_000.into(), Lease::default().next_epoch())),
        ..status()
    };
    let renewed = NodeStatus {
        version: 2,
        lease: Some((70_123.into(), Lease::default().next_epoch().renewed())),
        ..previous.clone()
    };
    let update = renewed
        .update_since(&previous)
        .expect("only the lease differs");
    assert_eq!(previous.with_update(update), renewed);
    let length = |frame| frame::encode(&frame).expect("a short frame").len();
    let hello = length(Frame::Hello(Box::new(renewed)));
    assert!(4 * length(Frame::StatusUpdate(update)) <= hello);
}

#[test]
fn a_leaving_process_is_told_in_a_hello() {
    let leaving = NodeStatus {
        version: 2,
        leaving: true,
        ..status()
    };
    assert_eq!(leaving.update_since(&status()), None);
}

// Guards against the lease of an earlier process that is taken for one of its successor.
#[test]
fn a_status_update_of_an_earlier_process_or_version_changes_nothing() {
    let peer = Peer::new(MachineName::new("m"), ([127, 0, 0, 1], 1).into());
    let renewed = NodeStatus {
        version: 2,
        catalog_version: 9,
        ..status()
    };
    let update = renewed.update_since(&status()).expect("a small change");
    assert!(!peer.apply_update(7, update), "before the first status");
    assert!(peer.update(status()));
    assert!(!peer.apply_update(6, update), "of an earlier process");
    assert!(peer.apply_update(7, update));
    assert!(!peer.apply_update(7, update), "an earlier version");
    assert_eq!(peer.status(), Some(renewed));
}

#[test]
fn there_is_no_frame_without_reports() {
    assert!(suspects::report_frame(&[], Features::SUPPORTED).is_none());
}

fn store_response() -> Frame {
    Frame::StoreResponse {
        id: 5,
        result: Ok(StoreResponse {
            status: 404,
            body: vec![1, 2],
            era: StoreEra::new(300).expect("a small number"),
        }),
    }
}

#[test]
fn a_relayed_response_names_the_era_of_the_store() {
    let bytes = frame::encode(&store_response()).expect("a short frame");
    let decoded = frame::decode(&mut BytesMut::from(&bytes[..])).expect("well-formed");
    let Some(Frame::StoreResponse { result, .. }) = decoded else {
        panic!("{decoded:?}");
    };
    let era = result.map(|r| r.era.number());
    assert_eq!(era, Ok(300));
}

/// A relayed response as versions without eras decode it, after the variant's number.
type EarlierStoreResponse = (u32, u64, Result<(u16, Vec<u8>), RequestError>);

#[test]
fn an_earlier_version_decodes_a_relayed_response() {
    let bytes = frame::encode(&store_response()).expect("a short frame");
    let (_, id, result): EarlierStoreResponse =
        postcard::from_bytes(&bytes[4..]).expect("bytes after it are ignored");
    assert_eq!((id, result), (5, Ok((404, vec![1, 2]))));
}

#[test]
fn a_process_announces_that_it_relays_eras() {
    const { assert!(Features::SUPPORTED.store_eras) };
    let before = Features {
        store_eras: false,
        ..Features::SUPPORTED
    };
    let bytes = frame::encode(&hello(before)).expect("a short frame");
    assert_eq!(decode_hello(&bytes).features, before);
}
