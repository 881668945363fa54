//! A short soak of the node program; `plantaingauge-soak` runs longer ones.

use std::path::PathBuf;
use std::time::Duration;

use soak::fleet::Environment;
use soak::run::{self, Options};

/// Seed, number of machines and seconds of faults of each soak.
const CASES: [(u64, usize, u64); 2] = [
    (1, 4, 12),
    // Guards against a stopping node that forwards a request to itself forever, because it rejects
    // the request each time.
    (208, 5, 25),
];

#[test]
fn every_promise_is_kept_under_random_faults() {
    for (seed, machines, seconds) in CASES {
        let directory = tempfile::tempdir().expect("a writable directory").keep();
        let program = PathBuf::from(env!("CARGO_BIN_EXE_plantaingauge-node"));
        let verdict = run::run(&Options {
            seed,
            machines,
            duration: Duration::from_secs(seconds),
            crashing: false,
            environment: Environment::new(directory.clone(), program, seed),
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
