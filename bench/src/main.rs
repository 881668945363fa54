//! Load tests and fault experiments: real daemons with stand-ins of the platform, the back ends and
//! the callers.

mod cli;
mod cmd;
mod logging;

use std::process::ExitCode;

use crate::cli::Command;

fn main() -> ExitCode {
    let command = cli::command().run();
    logging::init();
    let runtime = match tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("cannot start the runtime: {error}");
            return ExitCode::FAILURE;
        }
    };
    let result = runtime.block_on(async {
        match command {
            Command::Demo(options) => cmd::demo::run(&options).await,
            Command::Load(options) => cmd::load::run(&options).await,
            Command::Faults(options) => cmd::faults::run(&options).await,
            Command::Lists(options) => cmd::lists::run(&options).await,
            Command::Limits(options) => cmd::limits::run(&options).await,
            Command::Balance(options) => cmd::balance::run(&options).await,
            Command::Capacity(options) => cmd::capacity::run(&options).await,
            Command::Platform { listen } => cmd::processes::platform(listen).await,
            Command::BackEnd(options) => cmd::processes::back_end(&options).await,
            Command::Probe(options) => cmd::processes::probe(&options).await,
            Command::Trace(options) => cmd::trace::run(&options),
        }
    });
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::FAILURE
        }
    }
}
