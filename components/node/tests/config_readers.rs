//! Which processes read the configuration from the store, and when the others ask for it.

use std::time::Duration;

use balance::choice::Distance;
use node::config_lag::ConfigLag;
use node::config_readers::{is_reader, patience, to_ping};
use node::packed;
use node::single_request::{RESPONSE_TIMEOUT, SingleRequest};
use rstest::rstest;
use world::instant::BootInstant;
use world::name::MachineName;

fn at(millis: u64) -> BootInstant {
    BootInstant::default() + Duration::from_millis(millis)
}

const HEARD: Duration = Duration::from_millis(100);
const IDLE: Duration = Duration::from_millis(600);
const SILENT: Duration = Duration::from_millis(1_500);

// Guards against a zone in which nobody reads, or everybody does.
#[rstest]
fn a_zone_has_as_many_readers_as_it_should(#[values(1, 2, 3, 20)] machines: usize) {
    let readers = (0..machines).filter(|before| is_reader(vec![HEARD; *before]));
    assert_eq!(readers.count(), machines.min(2));
}

// Guards against a process that relies on readers that are frozen or that it does not reach.
#[rstest]
#[case::alone(&[], true)]
#[case::one(&[HEARD], true)]
#[case::two(&[HEARD, IDLE], false)]
#[case::one_is_silent(&[HEARD, SILENT], true)]
#[case::the_next_one_takes_over(&[HEARD, SILENT, HEARD], false)]
fn silent_readers_are_passed_over(#[case] silences: &[Duration], #[case] expected: bool) {
    assert_eq!(is_reader(silences.iter().copied()), expected);
}

// Guards against a reader of which nobody finds out whether it is still there, or there again.
#[rstest]
#[case::heard(&[HEARD, HEARD, SILENT], &[])]
#[case::idle(&[HEARD, IDLE, IDLE], &[1])]
#[case::silent(&[SILENT, HEARD, IDLE, IDLE], &[0, 2])]
fn the_readers_that_a_process_relies_on_are_pinged(
    #[case] silences: &[Duration],
    #[case] expected: &[usize],
) {
    assert_eq!(to_ping(silences.iter().copied()), expected);
}

#[test]
fn a_version_is_requested_the_earlier_the_nearer_it_is() {
    let by_distance = [Distance::Zone, Distance::Region, Distance::Remote];
    let waits = by_distance.map(|distance| patience(false, distance));
    assert!(waits.is_sorted(), "{waits:?}");
    assert_eq!(waits[0], Duration::ZERO);
    let reader = by_distance.map(|distance| patience(true, distance));
    assert!(reader.iter().all(|wait| wait >= &waits[2]), "{reader:?}");
}

// Guards against requests that wait for a peer that is gone or silent.
#[rstest]
#[case::in_flight(1, true, false)]
#[case::peer_lost(1, false, true)]
#[case::no_response(RESPONSE_TIMEOUT.as_millis() as u64, true, true)]
fn a_second_request_waits_for_the_first(
    #[case] after_ms: u64,
    #[case] is_connected: bool,
    #[case] expected: bool,
) {
    let requests = SingleRequest::default();
    let machine = MachineName::new("m");
    assert!(requests.begin(&machine, at(0), |_| true));
    assert_eq!(
        requests.begin(&machine, at(after_ms), |_| is_connected),
        expected
    );
}

#[test]
fn a_response_makes_room_for_the_next_request() {
    let requests = SingleRequest::default();
    let machine = MachineName::new("m");
    assert!(requests.begin(&machine, at(0), |_| true));
    requests.end();
    assert!(requests.begin(&machine, at(1), |_| true));
}

// Guards against a lateness that begins anew with each version that is skipped.
#[test]
fn a_version_that_replaces_missing_ones_is_as_late_as_the_first_of_them() {
    let lag = ConfigLag::default();
    lag.on_peer_version(3, 2, at(100));
    lag.on_peer_version(4, 2, at(300));
    lag.on_peer_version(6, 2, at(400));
    assert_eq!(lag.missing_for(at(500)), Duration::from_millis(400));
    assert_eq!(lag.on_in_force(4, at(500)), Duration::from_millis(400));
    assert_eq!(lag.missing_for(at(500)), Duration::from_millis(100));
    assert_eq!(lag.on_in_force(7, at(600)), Duration::from_millis(200));
    assert_eq!(lag.missing_for(at(600)), Duration::ZERO);
}

#[test]
fn a_packed_document_is_shorter_and_is_restored() {
    let document = r#"["route","host.example","/path/","safe",5000,1000,1]"#.repeat(1_400);
    let packed = packed::pack(document.as_bytes());
    assert!(packed.len() * 5 < document.len(), "{} bytes", packed.len());
    assert_eq!(
        packed::unpack(&packed).expect("packed data"),
        document.as_bytes()
    );
}

#[rstest]
#[case::empty(b"")]
#[case::other_data(b"{\"version\": 3}")]
fn what_is_no_packed_document_is_refused(#[case] data: &[u8]) {
    assert!(packed::unpack(data).is_err());
}

// Guards against a short message that fills the memory.
#[test]
fn a_packed_document_of_excessive_length_is_refused() {
    let packed = packed::pack(&vec![b'x'; (64 << 20) + 1]);
    assert!(packed::unpack(&packed).is_err());
}
