//! Back ends that name in their responses how many requests a second they take, or that they leave.

use std::time::{Duration, Instant};

use rstest::rstest;

use crate::SETTLE_TIMEOUT;
use crate::deployment::{Deployment, Reply};

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
/// Machines other than that of the back end that leaves.
const OTHERS: [usize; 6] = [1, 2, 3, 4, 5, 6];
/// Requests of each of them in flight when it begins to leave, so that all slots are in use.
const IN_FLIGHT: usize = 4;
/// Time in which these have begun to run.
const START_TIME: Duration = Duration::from_millis(500);
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
    Deployment::start_with_added_path(net, MACHINES)
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

/// Lets requests run at all machines while the back end of machine 0 begins to leave; returns the
/// machines whose callers received a response that says so.
fn machines_told(deployment: &Deployment) -> Vec<usize> {
    let in_flight: Vec<_> = OTHERS
        .into_iter()
        .flat_map(|machine| std::iter::repeat_n(machine, IN_FLIGHT))
        .map(|machine| {
            let reply = deployment.request_in_background(machine, "GET", "/added/slow/");
            (machine, reply)
        })
        .collect();
    std::thread::sleep(START_TIME);
    deployment.back_end(0).set_leaving(true);
    let replies = in_flight
        .into_iter()
        .map(|(machine, reply)| (machine, reply.join().expect("no panic")));
    let told = replies.filter(|(_, reply)| reply.text("Server-Leaving").is_some());
    told.map(|(machine, _)| machine).collect()
}

/// Sends requests at these machines for a time; returns how many reach the back end of machine 0.
fn late_arrivals(deployment: &Deployment, machines: &[usize]) -> usize {
    let from = Instant::now();
    while from.elapsed() < DRAIN_TIME {
        for machine in machines {
            let reply = deployment.request_with_prefix("late-", *machine, "GET", "/added/", None);
            assert_eq!(reply.status, 200, "{reply:?}");
        }
    }
    let late = deployment.arrivals("late-");
    late.iter().filter(|a| a.back_end == "i-0").count()
}

// Guards against requests to a back end that says in its responses that it leaves, when neither a
// heartbeat nor the store says it.
#[test]
fn a_back_end_that_says_that_it_leaves_gets_nothing_after_the_drain_time() {
    let deployment = start(54);
    deployment.store.set_unavailable(true);
    assert!(!machines_told(&deployment).is_empty());
    std::thread::sleep(DRAIN_TIME);
    assert_eq!(late_arrivals(&deployment, &OTHERS), 0);
}

// Guards against a process that restarts beside a back end that leaves and takes requests for it again
// from machines whose callers had been told.
#[test]
fn machines_that_were_told_send_nothing_to_a_leaving_back_end_whose_process_has_restarted() {
    let mut deployment = start(55);
    deployment.store.set_unavailable(true);
    let told = machines_told(&deployment);
    assert!(!told.is_empty());
    deployment.kill_process(0);
    deployment.start_process(0);
    std::thread::sleep(DRAIN_TIME);
    assert_eq!(late_arrivals(&deployment, &told), 0);
}

// Guards against keys that stay with a back end which says only in its responses that it leaves.
#[test]
fn keys_of_a_back_end_that_says_that_it_leaves_are_served_by_others() {
    let deployment = start(56);
    deployment.back_end(1).set_leaving(true);
    load(&deployment, "/list/today", true, Duration::from_secs(1));
    for key in (0..65_535).step_by(6_553) {
        let by_other = |r: &Reply| r.status == 200 && r.back_end() != "i-1";
        deployment.await_reply(0, "/list/today", Some(key), by_other, SETTLE_TIMEOUT);
    }
}

// Guards against more connections to a back end than its service takes; it resets those beyond.
#[test]
fn a_back_end_gets_no_more_connections_than_it_takes() {
    const CAP: usize = 4;
    let deployment = start(57);
    deployment
        .store
        .write_capped_config(3, &["/added/", "/capped/"], CAP);
    for machine in 0..MACHINES {
        deployment.await_status(machine, "/capped/", 200, SETTLE_TIMEOUT);
    }
    // The next heartbeat of each back end applies it.
    let slots = Some(CAP - 1);
    let deadline = Instant::now() + SETTLE_TIMEOUT;
    while !ORDERS
        .iter()
        .all(|m| gauge(&deployment, *m, "slots") == slots)
    {
        assert!(Instant::now() < deadline, "the slots stay");
        std::thread::sleep(CALLER_PAUSE);
    }
    let copies = (0..8).flat_map(|_| 0..MACHINES);
    let in_flight: Vec<_> = copies
        .map(|machine| deployment.request_in_background(machine, "GET", "/added/slow/"))
        .collect();
    for reply in in_flight {
        let _ = reply.join().expect("no panic");
    }
    for machine in ORDERS {
        let opened = gauge(&deployment, machine, "connections_opened");
        assert!(opened.is_some_and(|n| n > 0 && n <= CAP), "{opened:?}");
    }
}

/// Returns a gauge of a machine's back end.
fn gauge(deployment: &Deployment, machine: usize, name: &str) -> Option<usize> {
    let prefix = format!("plantaingauge_back_end_{name} ");
    let metrics = deployment.metrics(machine);
    let mut values = metrics.lines().filter_map(|l| l.strip_prefix(&prefix));
    values.next()?.parse().ok()
}
