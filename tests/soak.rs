//! A short soak of the real processes; `plantaingauge-soak` runs longer ones.

use std::path::PathBuf;
use std::time::Duration;

use soak::fleet::Site;
use soak::run::{self, Options};

/// Seeds that are soaked each time.
const SEEDS: [u64; 2] = [1, 2];

#[test]
fn every_promise_is_kept_under_random_faults() {
    for seed in SEEDS {
        let directory = tempfile::tempdir().expect("a writable directory").keep();
        let program = PathBuf::from(env!("CARGO_BIN_EXE_plantaingauge-node"));
        let verdict = run::run(&Options {
            seed,
            machines: 4,
            length: Duration::from_secs(12),
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
