//! `plantaingauge-node`: the process that runs next to a back end on the platform and routes
//! requests.

mod logging;

use std::process::ExitCode;

use bpaf::Bpaf;
use platform::settings::{Settings, SettingsError, SettingsFile};
use tokio::runtime::Builder;
use tokio::task::LocalSet;

/// Exit code when the settings file is missing or invalid.
const EXIT_INVALID_SETTINGS: u8 = 2;

/// Route requests between the back ends of a deployment on the platform.
///
/// The settings are read from the file that the platform names in the environment.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct Options {
    /// Log level: error, warn, info, debug or trace
    #[bpaf(
        env("PLANTAINGAUGE_LOG_LEVEL"),
        argument("LEVEL"),
        fallback(log::LevelFilter::Info),
        display_fallback
    )]
    log_level: log::LevelFilter,
    /// Address to announce to other nodes, if this one is behind a proxy
    #[bpaf(env("PLANTAINGAUGE_PEER_ADDRESS"), argument("ADDRESS"))]
    peer_address: Option<std::net::SocketAddr>,
}

fn main() -> ExitCode {
    let options = options().run();
    logging::start(options.log_level);
    let (mut settings, file) = match read_settings() {
        Ok(settings_and_file) => settings_and_file,
        Err(error) => {
            eprintln!("plantaingauge-node: {error}");
            return ExitCode::from(EXIT_INVALID_SETTINGS);
        }
    };
    if let Some(address) = options.peer_address {
        settings.advertised_address = address;
    }
    // Requests and control share one thread: the machines have one core, and each further thread
    // costs memory.
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
