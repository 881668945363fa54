//! Scripts of the review: `review-cases CASE FOLDER`.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With
//! `TROUBLE=0` in the environment the disruption is left out.

mod back_end;
mod caller;
mod cases;
mod deployment;
mod proxy;
mod record;
mod server;

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use deployment::Verdict;

/// Longest time for a script.
const LIMIT: Duration = Duration::from_secs(110);

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = &arguments[..] else {
        eprintln!("usage: review-cases CASE FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    deployment::start_watchdog(LIMIT);
    let folder = PathBuf::from(folder);
    let verdict = match case.as_str() {
        "clock-back" => cases::clock_back::run(&folder, trouble),
        "deregister" => cases::deregister::run(&folder, trouble),
        "foreign-check-in" => cases::foreign_check_in::run(&folder, trouble),
        "foreign-service" => cases::foreign_service::run(&folder, trouble),
        "log-reader" => cases::log_reader::run(&folder, trouble),
        "late-copy" => cases::late_copy::run(&folder, trouble),
        "large-frame" => cases::large_frame::run(&folder, trouble),
        "limit" => cases::limit::run(&folder, trouble),
        "large-body" => cases::large_body::run(&folder, trouble),
        "stop" => cases::stop::run(&folder, trouble),
        "silent-store" => cases::silent_store::run(&folder, trouble),
        _ => Err(format!("no case {case}")),
    };
    match verdict.unwrap_or_else(Verdict::NotRun) {
        Verdict::Held => {
            println!("held");
            ExitCode::SUCCESS
        }
        Verdict::Broken => {
            println!("broken");
            ExitCode::from(1)
        }
        Verdict::NotRun(why) => {
            println!("not run: {why}");
            ExitCode::from(2)
        }
    }
}
