//! The process beside a back end on the platform.

mod logging;

use std::process::ExitCode;

use bpaf::Bpaf;
use platform::settings::{Settings, SettingsError, SettingsFile};
use tokio::runtime::Builder;
use tokio::task::LocalSet;

/// Exit code when the settings are at fault.
const BAD_SETTINGS: u8 = 2;

/// Route requests between the back ends of a deployment on the platform.
///
/// The settings are read from the file that the platform names in the environment.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct Options {
    /// Level of detail of the log: error, warn, info, debug or trace
    #[bpaf(
        env("PLANTAINGAUGE_LOG_LEVEL"),
        argument("LEVEL"),
        fallback(log::LevelFilter::Info),
        display_fallback
    )]
    log_level: log::LevelFilter,
    /// Address that other processes are told to reach this one at, if a proxy stands in front of it
    #[bpaf(env("PLANTAINGAUGE_PEER_ADDRESS"), argument("ADDRESS"))]
    peer_address: Option<std::net::SocketAddr>,
}

fn main() -> ExitCode {
    let options = options().run();
    logging::start(options.log_level);
    let (mut settings, file) = match read_settings() {
        Ok(read) => read,
        Err(error) => {
            eprintln!("plantaingauge-node: {error}");
            return ExitCode::from(BAD_SETTINGS);
        }
    };
    if let Some(address) = options.peer_address {
        settings.advertised_address = address;
    }
    // Requests and control share one thread: the machines have one core, and each thread costs
    // memory.
    let runtime = match Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("plantaingauge-node: cannot start: {error}");
            return ExitCode::FAILURE;
        }
    };
    match LocalSet::new().block_on(&runtime, node::run::run(settings, file)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("plantaingauge-node: {error}");
            ExitCode::FAILURE
        }
    }
}

fn read_settings() -> Result<(Settings, SettingsFile), SettingsError> {
    let mut file = SettingsFile::from_environment()?;
    let settings = file.read()?;
    Ok((settings, file))
}
