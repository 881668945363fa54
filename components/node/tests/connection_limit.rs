//! Which connection makes room for a new one.

use std::rc::Rc;

use futures::FutureExt;
use node::connection_limit::{Admission, ConnectionLimit, OpenConnection, Phase};

fn admit(limit: &Rc<ConnectionLimit>, most: usize) -> Option<OpenConnection> {
    match limit.admit(most) {
        Admission::Free(open) | Admission::InPlaceOfAnother(open) => Some(open),
        Admission::Refused => None,
    }
}

fn is_closed(open: &OpenConnection) -> bool {
    open.closed().now_or_never().is_some()
}

// Guards against ordinary callers who are closed, between two requests or in one, for connections that
// send nothing.
#[test]
fn the_longest_incomplete_connection_goes_first_and_busy_ones_stay() {
    let limit = Rc::new(ConnectionLimit::default());
    let open: Vec<_> = (0..4).filter_map(|_| admit(&limit, 4)).collect();
    open[0].set_phase(Phase::Idle);
    open[1].set_phase(Phase::Busy);
    let mut later = Vec::new();
    for expected in [2, 3] {
        later.extend(admit(&limit, 4));
        assert!(is_closed(&open[expected]));
        if let Some(open) = later.last() {
            open.set_phase(Phase::Busy);
        }
    }
    assert!(!is_closed(&open[0]));
    later.extend(admit(&limit, 4));
    assert!(is_closed(&open[0]) && !is_closed(&open[1]));
    later[2].set_phase(Phase::Busy);
    assert!(admit(&limit, 4).is_none(), "all are busy");
    drop(later);
    assert!(admit(&limit, 4).is_some());
}
