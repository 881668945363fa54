//! Short soaks of the node program; `plantaingauge-soak` runs longer ones.

use std::path::PathBuf;
use std::time::Duration;

use soak::fleet::Environment;
use soak::run::{self, Options};

/// One soak.
struct Case {
    seed: u64,
    machines: usize,
    seconds: u64,
    crashing: bool,
    notices: bool,
    restores: bool,
    outdated: bool,
}

const CASES: [Case; 8] = [
    Case {
        seed: 1,
        machines: 4,
        seconds: 12,
        crashing: false,
        notices: false,
        restores: false,
        outdated: false,
    },
    // Guards against a stopping node that forwards a request to itself forever, because it rejects
    // the request each time.
    Case {
        seed: 208,
        machines: 5,
        seconds: 25,
        crashing: false,
        notices: false,
        restores: false,
        outdated: false,
    },
    // Guards against an order that runs twice, because a copy of it arrives after its cancellation.
    Case {
        seed: 1,
        machines: 7,
        seconds: 25,
        crashing: true,
        notices: false,
        restores: false,
        outdated: false,
    },
    // These two guard against crash-causing requests that are not recognised.
    Case {
        seed: 2,
        machines: 7,
        seconds: 25,
        crashing: true,
        notices: false,
        restores: false,
        outdated: false,
    },
    Case {
        seed: 6,
        machines: 7,
        seconds: 25,
        crashing: true,
        notices: false,
        restores: false,
        outdated: false,
    },
    // Guards against limits and leaving of back ends that are not kept.
    Case {
        seed: 3,
        machines: 7,
        seconds: 20,
        crashing: false,
        notices: true,
        restores: false,
        outdated: false,
    },
    // Guards against keys and configurations that go back with a store that comes back from an
    // earlier copy.
    Case {
        seed: 10,
        machines: 5,
        seconds: 25,
        crashing: false,
        notices: false,
        restores: true,
        outdated: false,
    },
    // Guards against requests that are denied by a configuration which may be outdated.
    Case {
        seed: 3,
        machines: 5,
        seconds: 15,
        crashing: false,
        notices: false,
        restores: true,
        outdated: true,
    },
];

#[test]
fn every_promise_is_kept_under_random_faults() {
    for (number, case) in CASES.iter().enumerate() {
        let directory = tempfile::tempdir().expect("a writable directory").keep();
        let program = PathBuf::from(env!("CARGO_BIN_EXE_plantaingauge-node"));
        let seed = case.seed;
        // Addresses of their own: the store of an earlier case still listens.
        let addresses = number as u64;
        let verdict = run::run(&Options {
            seed,
            machines: case.machines,
            duration: Duration::from_secs(case.seconds),
            crashing: case.crashing,
            notices: case.notices,
            restores: case.restores,
            outdated: case.outdated,
            environment: Environment::new(directory.clone(), program, addresses),
        })
        .expect("the processes start");
        let logs = directory.display();
        assert!(
            verdict.broken.is_empty(),
            "seed {seed}, logs {logs}: {verdict:#?}"
        );
        assert!(verdict.counts.ran > 200, "seed {seed}: {verdict:?}");
        std::fs::remove_dir_all(&directory).expect("logs are removed");
    }
}
