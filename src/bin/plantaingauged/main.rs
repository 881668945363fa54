//! `plantaingauged`: the daemon that runs next to each back end. It stops gracefully on SIGTERM or
//! SIGINT.

mod cli;
mod logging;

use std::process::ExitCode;

use daemon::daemon::Daemon;
use tokio::signal::unix::{SignalKind, signal};

fn main() -> ExitCode {
    let options = cli::options().run();
    logging::start(options.log_level);
    let daemon = match Daemon::start(options.into_settings()) {
        Ok(daemon) => daemon,
        Err(error) => {
            eprintln!("plantaingauged: {error}");
            return ExitCode::FAILURE;
        }
    };
    if let Err(error) = await_signal() {
        eprintln!("plantaingauged: cannot wait for signals: {error}");
        daemon.kill();
        return ExitCode::FAILURE;
    }
    daemon.stop();
    ExitCode::SUCCESS
}

/// Waits for SIGTERM or SIGINT.
fn await_signal() -> std::io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(async {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        Ok(())
    })
}
