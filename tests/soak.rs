//! A short soak of the real processes; `plantaingauge-soak` runs longer ones.

use std::path::PathBuf;
use std::time::Duration;

use soak::fleet::Site;
use soak::run::{self, Options};

/// Seeds that are soaked each time, with the number of machines and the seconds.
const CASES: [(u64, usize, u64); 2] = [
    (1, 4, 12),
    // A process that stopped asked itself for ever to run a request that it refused.
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
            length: Duration::from_secs(seconds),
            site: Site::new(directory.clone(), program, seed),
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
