//! Command line of the soak test: runs one soak per seed, one after the other.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use bpaf::Bpaf;
use soak::fleet::{Environment, sibling_program};
use soak::run::{self, Options, Verdict};

/// Soak plantaingauge-node: real processes under random faults.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct Arguments {
    /// First seed
    #[bpaf(argument("NUMBER"), fallback(1), display_fallback)]
    seed: u64,
    /// Number of seeds
    #[bpaf(argument("NUMBER"), fallback(1), display_fallback)]
    seeds: u64,
    /// Number of machines
    #[bpaf(argument("NUMBER"), fallback(5), display_fallback)]
    machines: usize,
    /// Seconds for which faults are injected
    #[bpaf(argument("SECONDS"), fallback(30), display_fallback)]
    seconds: u64,
    /// Leave out requests that crash back ends
    no_crashing: bool,
    /// Leave out back ends that name limits and say that they leave
    no_notices: bool,
    /// Leave out stores that are restored from snapshots and execute writes late
    no_restores: bool,
    /// Leave out processes that miss changes of the configuration
    no_outdated: bool,
    /// Program to soak; plantaingauge-node beside this program if left out
    #[bpaf(argument("FILE"))]
    program: Option<PathBuf>,
    /// Directory for settings and logs; a new temporary one if left out
    #[bpaf(argument("DIRECTORY"))]
    directory: Option<PathBuf>,
}

fn main() -> ExitCode {
    let arguments = arguments().run();
    match soak_all(&arguments) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("plantaingauge-soak: {error}");
            ExitCode::from(2)
        }
    }
}

fn soak_all(arguments: &Arguments) -> Result<bool, Box<dyn std::error::Error>> {
    let current_exe = std::env::current_exe()?;
    let program = arguments.program.clone();
    let program = program.unwrap_or_else(|| sibling_program(&current_exe));
    let base = match &arguments.directory {
        Some(directory) => directory.clone(),
        None => tempfile::Builder::new().prefix("soak").tempdir()?.keep(),
    };
    println!("settings and logs: {}", base.display());
    let mut all_passed = true;
    for seed in arguments.seed..arguments.seed + arguments.seeds {
        let directory = run::directory(&base, seed);
        std::fs::create_dir_all(&directory)?;
        let options = Options {
            seed,
            machines: arguments.machines,
            duration: Duration::from_secs(arguments.seconds),
            crashing: !arguments.no_crashing,
            notices: !arguments.no_notices,
            restores: !arguments.no_restores,
            outdated: !arguments.no_outdated,
            environment: Environment::new(directory, program.clone(), seed),
        };
        let verdict = run::run(&options)?;
        print_verdict(seed, &verdict);
        all_passed &= verdict.broken.is_empty();
    }
    Ok(all_passed)
}

fn print_verdict(seed: u64, verdict: &Verdict) {
    let counts = verdict.counts;
    println!(
        "seed={seed} broken={} faults={} ran={} refused={} unknown={} recovery_ms={} {}",
        verdict.broken.len(),
        verdict.faults,
        counts.ran,
        counts.refused,
        counts.unknown,
        verdict.recovery.as_millis(),
        verdict.denials
    );
    for violation in &verdict.broken {
        println!("  {violation}");
    }
}
