//! The whole path: processes, back ends and callers against a stand-in of the platform's store.

mod deployment;
mod late_hello;

use std::collections::HashSet;
use std::time::Duration;

use deployment::{Deployment, LISTING, ORDER, Reply};
use stand_ins::layout;

/// Time for keys to get a first holder, and for a change to arrive everywhere.
const SETTLE: Duration = Duration::from_secs(20);

#[test]
fn a_calm_day_serves_every_request_where_it_belongs() {
    let day = Deployment::start(1, 3);
    day.await_served(SETTLE);
    for machine in 0..3 {
        for key in [0, 17_000, 40_000, 65_535] {
            let reply = day.request(machine, "GET", LISTING, Some(key));
            assert_eq!(reply.status, 200, "{reply:?}");
            assert_eq!(reply.caller(), layout::service(machine));
        }
        assert_eq!(day.request(machine, "POST", ORDER, None).status, 200);
        assert_eq!(day.request(machine, "GET", "/nowhere/", None).status, 404);
    }
    assert_eq!(day.runs_of_orders(), 3, "each order ran once");
}

#[test]
fn the_operators_page_names_every_metric() {
    let day = Deployment::start(10, 2);
    day.await_served(SETTLE);
    day.request(1, "POST", ORDER, None);
    let served: HashSet<String> = day
        .metrics(1)
        .lines()
        .filter_map(|line| line.strip_prefix("# TYPE "))
        .filter_map(|line| line.split(' ').next().map(str::to_owned))
        .collect();
    let page = include_str!("../../../../docs/OPERATIONS.md");
    let listed: HashSet<String> = page
        .lines()
        .filter_map(|line| line.strip_prefix("| `plantaingauge_"))
        .filter_map(|line| line.split('`').next())
        .map(|name| format!("plantaingauge_{name}"))
        .collect();
    assert_eq!(served, listed);
}

#[test]
fn each_key_is_served_by_one_back_end() {
    let day = Deployment::start(2, 3);
    day.await_served(SETTLE);
    for key in (0..65_535).step_by(9_001) {
        let back_ends: HashSet<String> = (0..3)
            .map(|machine| day.request(machine, "GET", LISTING, Some(key)))
            .map(|reply| reply.back_end())
            .collect();
        assert_eq!(back_ends.len(), 1, "key {key}: {back_ends:?}");
    }
}

#[test]
fn a_changed_configuration_comes_into_force_everywhere_and_never_reverts() {
    let day = Deployment::start(3, 2);
    day.await_served(SETTLE);
    day.store.write_config(2, &["/added/"]);
    for machine in 0..2 {
        let reply = day.await_status(machine, "/added/", 200, SETTLE);
        assert_eq!(reply.status, 200);
    }
    day.store.write_config(3, &[]);
    for machine in 0..2 {
        day.await_status(machine, "/added/", 404, SETTLE);
        for _ in 0..20 {
            assert_eq!(day.request(machine, "GET", "/added/", None).status, 404);
        }
    }
}

#[test]
fn requests_are_served_while_the_store_is_away_and_changes_arrive_after_it() {
    let day = Deployment::start(4, 2);
    day.await_served(SETTLE);
    day.store.set_unavailable(true);
    std::thread::sleep(Duration::from_secs(2));
    for machine in 0..2 {
        assert_eq!(day.request(machine, "POST", ORDER, None).status, 200);
        assert_eq!(day.request(machine, "GET", LISTING, Some(5)).status, 200);
    }
    day.store.set_unavailable(false);
    day.store.write_config(2, &["/added/"]);
    for machine in 0..2 {
        day.await_status(machine, "/added/", 200, SETTLE);
    }
}

#[test]
fn keys_of_a_lost_machine_are_served_by_others() {
    let mut day = Deployment::start(5, 3);
    day.await_served(SETTLE);
    day.lose_machine(1);
    for key in [0, 30_000, 65_535] {
        let served = |reply: &Reply| reply.status == 200;
        let reply = day.await_reply(0, LISTING, Some(key), served, 2 * SETTLE);
        assert_ne!(reply.back_end(), "i-1");
    }
}

#[test]
fn keys_of_a_machine_whose_address_another_has_now_are_served() {
    let day = Deployment::start_after_ghost(13, 3);
    for key in [0, 30_000, 65_535] {
        let served = |reply: &Reply| reply.status == 200;
        day.await_reply(0, LISTING, Some(key), served, 2 * SETTLE);
    }
}

#[test]
fn keys_of_a_lost_machine_are_served_though_its_address_is_used_again() {
    let mut day = Deployment::start(14, 3);
    day.await_served(SETTLE);
    day.reuse_address(1);
    for key in [0, 30_000, 65_535] {
        let served = |reply: &Reply| reply.status == 200;
        let reply = day.await_reply(0, LISTING, Some(key), served, 2 * SETTLE);
        assert_eq!(reply.back_end(), "i-2");
    }
}

#[test]
fn a_process_that_says_late_who_it_is_learns_of_back_ends_that_came_meanwhile() {
    let mut told = None;
    let day = Deployment::start_beside_slow(15, 2, |address| {
        told = Some(late_hello::listen(address, Duration::from_secs(4)));
    });
    day.await_served(SETTLE);
    let told = told.expect("it listens");
    let mut words = HashSet::new();
    while words.len() < 3 {
        let word = told.recv_timeout(SETTLE);
        words.insert(word.expect("both machines tell of their back end, one of its keys"));
    }
}

#[test]
fn a_process_that_starts_again_goes_on_with_its_keys() {
    let mut day = Deployment::start(6, 2);
    day.await_served(SETTLE);
    let key = (0..60_000)
        .step_by(1_000)
        .find(|key| day.request(0, "GET", LISTING, Some(*key)).back_end() == "i-1")
        .expect("machine 1 holds some keys");
    day.kill_process(1);
    day.start_process(1);
    let served = |reply: &Reply| reply.status == 200;
    let reply = day.await_reply(0, LISTING, Some(key), served, SETTLE);
    assert_eq!(reply.back_end(), "i-1");
}

#[test]
fn a_planned_stop_cuts_off_no_request() {
    let mut day = Deployment::start(7, 2);
    day.await_served(SETTLE);
    let slow = day.request_in_background(1, "POST", "/orders/slow/");
    std::thread::sleep(Duration::from_millis(200));
    day.stop_process(1);
    let reply = slow.join().expect("no panic");
    assert_eq!(reply.status, 200, "{reply:?}");
}

#[test]
fn a_request_that_outlasts_a_planned_stop_gets_its_final_answer_before_the_end() {
    let mut day = Deployment::start(19, 2);
    day.await_served(SETTLE);
    let late = day.request_after(1, "POST", "/orders/stuck/", Duration::from_millis(2_100));
    day.stop_process(1);
    let reply = late.join().expect("no panic");
    assert_eq!(reply.status, 504, "{reply:?}");
}

#[test]
fn a_process_that_stops_answers_a_request_that_no_back_end_takes_any_more() {
    let mut day = Deployment::start(20, 4);
    day.store.write_config(2, &["/added/"]);
    day.await_served(SETTLE);
    day.await_status(0, "/added/", 200, SETTLE);
    day.crash_back_end(0);
    day.await_status(0, "/added/", 200, SETTLE);
    day.ask_to_stop(0);
    std::thread::sleep(Duration::from_millis(1_100));
    // Machine 3 loses its answer when the back end here is back, but the process takes nothing more.
    let retried = day.request_in_background(0, "GET", "/added/late-cut/");
    std::thread::sleep(Duration::from_millis(300));
    day.restart_back_end(0);
    let reply = retried.join().expect("no panic");
    assert!(matches!(reply.status, 502..=504), "{reply:?}");
}

#[test]
fn a_request_that_waits_does_not_run_once_its_caller_has_left() {
    let day = Deployment::start(16, 2);
    day.await_served(SETTLE);
    let slow: Vec<_> = (0..8)
        .map(|_| day.request_in_background(0, "POST", "/orders/slow/"))
        .collect();
    std::thread::sleep(Duration::from_millis(300));
    day.order_and_leave(1, Duration::from_millis(300));
    for reply in slow {
        assert_eq!(reply.join().expect("no panic").status, 200);
    }
    std::thread::sleep(Duration::from_millis(500));
    assert_eq!(day.runs_of_orders(), 8, "the caller of the ninth had left");
}

#[test]
fn bytes_that_are_no_frames_end_only_their_connection() {
    let day = Deployment::start(17, 2);
    day.await_served(SETTLE);
    let whole = [[0, 0, 0, 9].as_slice(), &[0xff; 9]].concat();
    let too_long = [0xff; 64].to_vec();
    let cut_short = vec![0, 0, 1, 0, 1, 2];
    for bytes in [whole, too_long, cut_short] {
        day.send_to_peer_port(0, &bytes);
    }
    assert_eq!(day.request(0, "POST", ORDER, None).status, 200);
    assert_eq!(day.request(1, "POST", ORDER, None).status, 200);
}

#[test]
fn a_back_end_that_leaves_gets_no_request_once_that_is_confirmed() {
    let day = Deployment::start(11, 4);
    day.await_served(SETTLE);
    day.drain(0);
    std::thread::sleep(Duration::from_millis(500));
    for machine in 0..4 {
        for _ in 0..5 {
            let reply = day.request(machine, "POST", ORDER, None);
            assert_eq!(reply.back_end(), "i-3", "{reply:?}");
        }
    }
}

#[test]
fn a_process_that_starts_again_heeds_a_back_end_that_leaves_before_its_first_heartbeat() {
    let mut day = Deployment::start(18, 4);
    day.await_served(SETTLE);
    day.restart_and_deregister(0);
    std::thread::sleep(Duration::from_secs(1));
    for machine in 0..4 {
        for _ in 0..5 {
            let reply = day.request(machine, "POST", ORDER, None);
            assert_eq!(reply.back_end(), "i-3", "{reply:?}");
        }
    }
}

#[test]
fn keys_of_a_back_end_that_leaves_go_to_others() {
    let day = Deployment::start(12, 3);
    day.await_served(SETTLE);
    day.drain(1);
    for key in [0, 30_000, 65_535] {
        let moved = |reply: &Reply| reply.status == 200 && reply.back_end() == "i-2";
        day.await_reply(0, LISTING, Some(key), moved, SETTLE);
    }
}

#[test]
fn an_order_whose_answer_is_lost_is_not_sent_again() {
    let day = Deployment::start(8, 2);
    day.await_served(SETTLE);
    let before = day.runs_of_orders();
    let reply = day.request(0, "POST", "/orders/cut/", None);
    assert_eq!(reply.status, 502);
    assert_eq!(day.runs_of_orders(), before + 1);
}

#[test]
fn a_process_without_a_configuration_promises_that_nothing_ran() {
    let day = Deployment::start_unconfigured(9, 1);
    let reply = day.await_reply(0, LISTING, Some(1), |r| r.status == 503, SETTLE);
    assert!(reply.text("Retry-After").is_some());
    assert_ne!(day.readiness(0), 200);
}
