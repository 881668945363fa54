//! Back ends that send bytes without end.

use rstest::rstest;

use crate::deployment::Deployment;

const MACHINES: usize = 4;
/// Requests that are answered without end, at once.
const ENDLESS: usize = 12;

// Guards against requests that wait until their deadline, and a process that runs out of memory, while a
// back end sends bytes that never become a response.
#[rstest]
#[case::head(61, "/added/endless-head/")]
#[case::body(62, "/added/endless-body/")]
fn endless_responses_end_at_a_bound_and_others_are_served(
    #[case] net: u8,
    #[case] path: &'static str,
) {
    let deployment = Deployment::start_with_added_path(net, MACHINES);
    let endless: Vec<_> = (0..ENDLESS)
        .map(|i| deployment.request_in_background(i % MACHINES, "GET", path))
        .collect();
    for i in 0..40 {
        let reply = deployment.request_with_prefix("sound-", i % MACHINES, "GET", "/added/", None);
        assert_eq!(reply.status, 200, "{reply:?}");
    }
    for reply in endless {
        let reply = reply.join().expect("no panic");
        // 504 would be the caller's deadline.
        assert_eq!(reply.status, 502, "{reply:?}");
    }
}
