//! Home regions of routes.

use std::time::Duration;

use catalog::Route;
use rstest::rstest;
use world::name::RegionName;

fn route(homes: &[&str]) -> Route {
    Route {
        name: "route".to_owned(),
        host: "h.example".to_owned(),
        prefix: "/".to_owned(),
        idempotent: true,
        large_responses: false,
        homes: homes.iter().map(|home| RegionName::new(home)).collect(),
        timeout: Duration::from_secs(1),
        latency_target: Duration::from_secs(1),
        priority: 1,
        states_priority: true,
        max_attempts: 1,
        traffic_split: Default::default(),
    }
}

// Guards against an empty name that counts as a list without homes, or as the region of a machine whose
// settings name none.
#[rstest]
#[case::any_region(&[], "north", true)]
#[case::home(&["south", "north"], "north", true)]
#[case::elsewhere(&["south"], "north", false)]
#[case::empty_name(&[""], "north", false)]
#[case::empty_name_and_region(&[""], "", false)]
fn a_request_may_run_only_in_a_home(
    #[case] homes: &[&str],
    #[case] region: &str,
    #[case] allowed: bool,
) {
    assert_eq!(route(homes).may_run_in(&RegionName::new(region)), allowed);
}
