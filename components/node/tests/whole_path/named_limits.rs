//! Back ends that name in their responses how many requests a second they take, or that they leave.

use std::time::{Duration, Instant};

use rstest::rstest;

use crate::SETTLE_TIMEOUT;
use crate::deployment::Deployment;

/// Number of machines; every third one serves `orders`, the others `lists`.
const MACHINES: usize = 7;
/// Machines with a back end of `orders`.
const ORDERS: [usize; 3] = [0, 3, 6];
/// Machines with a back end of `lists`.
const LISTS: [usize; 4] = [1, 2, 4, 5];
/// Callers at each machine.
const CALLERS: usize = 2;
/// Pause of a caller between a response and its next request.
const CALLER_PAUSE: Duration = Duration::from_millis(40);
/// Time from the first response with a limit until the limit must be kept.
const STABILITY_WINDOW: Duration = Duration::from_secs(3);
/// Time for which the arrivals are counted after that.
const COUNTED_TIME: Duration = Duration::from_secs(6);
/// Length of the windows in which the arrivals are counted.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);
/// Factor by which arrivals may exceed the limit.
const ALLOWED_RATIO: f64 = 1.5;
/// Arrivals that are allowed on top of that.
const ALLOWED_EXTRA: f64 = 5.0;
/// Share of the limit that a back end gets at least while callers wait for it.
const MIN_USED_RATIO: f64 = 0.8;
/// Time after which a back end that said that it leaves must get nothing.
const DRAIN_TIME: Duration = Duration::from_millis(2_500);

/// Sends requests at all machines for a time, and returns the replies with status 200.
fn load(deployment: &Deployment, path: &str, keyed: bool, duration: Duration) -> usize {
    let until = Instant::now() + duration;
    let call = |machine: usize, caller: usize| {
        let mut served = 0;
        let mut key = u16::try_from(machine * CALLERS + caller).expect("a small number");
        while Instant::now() < until {
            key = key.wrapping_mul(31).wrapping_add(7_919);
            let reply = deployment.request(machine, "GET", path, keyed.then_some(key));
            served += usize::from(reply.status == 200);
            std::thread::sleep(CALLER_PAUSE);
        }
        served
    };
    std::thread::scope(|scope| {
        let callers = (0..MACHINES).flat_map(|m| (0..CALLERS).map(move |c| (m, c)));
        let threads: Vec<_> = callers
            .map(|(m, c)| scope.spawn(move || call(m, c)))
            .collect();
        let served = threads.into_iter().map(|t| t.join().expect("no panic"));
        served.sum()
    })
}

fn start(net: u8) -> Deployment {
    let deployment = Deployment::start(net, MACHINES);
    deployment.store.write_config(2, &["/added/"]);
    deployment.await_serving(SETTLE_TIMEOUT);
    for machine in 0..MACHINES {
        deployment.await_status(machine, "/added/", 200, SETTLE_TIMEOUT);
    }
    deployment
}

/// Returns the smallest and the greatest number of arrivals in any window that begins between `from`
/// and `to`.
fn arrivals_in_windows(arrivals: &[Instant], from: Instant, to: Instant) -> (usize, usize) {
    let starts = (0..).map(|step| from + Duration::from_millis(20) * step);
    let in_window = |start: Instant| {
        let within = arrivals
            .iter()
            .filter(|at| **at >= start && **at < start + LIMIT_WINDOW);
        within.count()
    };
    let counts: Vec<usize> = starts.take_while(|s| *s <= to).map(in_window).collect();
    let smallest = counts.iter().min().expect("at least one window");
    let greatest = counts.iter().max().expect("at least one window");
    (*smallest, *greatest)
}

// Guards against back ends that get more requests than the limit that they name: each machine sent
// what it would have sent without.
#[rstest]
#[case::any_back_end(47, "/added/", false, &ORDERS, 5.0)]
#[case::owner_of_a_key(48, "/list/today", true, &LISTS, 4.0)]
#[case::less_than_one_a_second(49, "/added/", false, &ORDERS, 0.8)]
fn a_back_end_gets_no_more_requests_than_it_names_and_nearly_as_many(
    #[case] net: u8,
    #[case] path: &str,
    #[case] keyed: bool,
    #[case] back_ends: &[usize],
    #[case] limit: f64,
) {
    let deployment = start(net);
    for machine in back_ends {
        let back_end = deployment.back_end(*machine);
        back_end.set_limit(Some(&limit.to_string()));
    }
    let named = Instant::now();
    load(&deployment, path, keyed, STABILITY_WINDOW + COUNTED_TIME);
    let window_secs = LIMIT_WINDOW.as_secs_f64();
    let most = ALLOWED_RATIO * limit * window_secs + ALLOWED_EXTRA;
    let least = (MIN_USED_RATIO * limit * window_secs).floor();
    let last_window = named + STABILITY_WINDOW + COUNTED_TIME - LIMIT_WINDOW;
    for machine in back_ends {
        let arrivals = deployment.arrivals_at(*machine);
        let (smallest, greatest) =
            arrivals_in_windows(&arrivals, named + STABILITY_WINDOW, last_window);
        assert!(
            greatest as f64 <= most,
            "machine {machine} got {greatest} requests in {LIMIT_WINDOW:?}, {most} are allowed"
        );
        assert!(
            smallest as f64 >= least,
            "machine {machine} got only {smallest} requests in {LIMIT_WINDOW:?}, not {least}"
        );
    }
}

// Guards against sending on to a limited back end while others of its service have room.
#[test]
fn requests_go_to_back_ends_without_a_limit_while_these_have_room() {
    let deployment = start(50);
    deployment.back_end(0).set_limit(Some("2"));
    load(&deployment, "/added/", false, STABILITY_WINDOW);
    let from = Instant::now();
    let served = load(&deployment, "/added/", false, Duration::from_secs(2));
    let sent_to = |machine| {
        let arrivals = deployment.arrivals_at(machine);
        arrivals.iter().filter(|at| **at >= from).count()
    };
    let (limited, others) = (sent_to(0), sent_to(3) + sent_to(6));
    assert!(limited <= 4 + 5, "{limited} requests in 2 s at 2 a second");
    assert!(others >= 10 * limited, "{others} beside {limited}");
    assert!(served >= others, "{served} served, {others} ran");
}

// Guards against limits that stay in force when the back end names none any more, and against
// values that are none.
#[rstest]
#[case::ended(51, "0.5", None)]
#[case::unreadable(52, "many", Some("many"))]
#[case::negative(53, "-3", Some("-3"))]
fn without_a_limit_a_back_end_gets_all_requests(
    #[case] net: u8,
    #[case] before: &str,
    #[case] after: Option<&str>,
) {
    let deployment = start(net);
    for machine in ORDERS {
        deployment.back_end(machine).set_limit(Some(before));
    }
    load(&deployment, "/added/", false, Duration::from_secs(1));
    for machine in ORDERS {
        deployment.back_end(machine).set_limit(after);
    }
    load(&deployment, "/added/", false, STABILITY_WINDOW);
    let served = load(&deployment, "/added/", false, Duration::from_secs(1));
    assert!(served >= MACHINES * CALLERS * 10, "{served} served");
}

// Guards against requests to a back end that says in its responses that it leaves, when neither a
// heartbeat nor the store says it.
#[rstest]
#[case::process_stays(54, false)]
#[case::process_beside_it_restarts(55, true)]
fn a_back_end_that_says_that_it_leaves_gets_nothing_after_the_drain_time(
    #[case] net: u8,
    #[case] restarts: bool,
) {
    let mut deployment = start(net);
    deployment.back_end(0).set_leaving(true);
    deployment.store.set_unavailable(true);
    load(&deployment, "/added/", false, DRAIN_TIME);
    if restarts {
        deployment.kill_process(0);
        deployment.start_process(0);
    }
    let from = Instant::now();
    let others = [1, 2, 3, 4, 5, 6];
    while from.elapsed() < DRAIN_TIME {
        for machine in others {
            let reply = deployment.request_with_prefix("late-", machine, "GET", "/added/", None);
            assert_eq!(reply.status, 200, "{reply:?}");
        }
    }
    let late = deployment.arrivals("late-");
    let at_leaving = late.iter().filter(|a| a.back_end == "i-0").count();
    assert_eq!(at_leaving, 0, "requests reached the back end that leaves");
}
