//! Command-line arguments of `plantaingauge`.

use std::net::SocketAddr;
use std::path::PathBuf;

use bpaf::Bpaf;

/// Administer a deployment of plantaingauge.
///
/// Exit codes: 0 done, 1 failed, 2 wrong usage, 3 refused because the document is invalid,
/// 4 conflict with another edit, 5 unknown because the store did not respond.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options("plantaingauge"), version)]
pub(crate) enum Command {
    /// Show which machine owns which shards, as known to a daemon
    #[bpaf(command("status"))]
    Status(#[bpaf(external(status_options))] StatusOptions),
    /// Read, check and replace the lists of customers and plans
    #[bpaf(command("lists"))]
    Lists(#[bpaf(external(lists_command))] ListsCommand),
}

/// Options of `status`.
#[derive(Clone, Debug, Bpaf)]
pub(crate) struct StatusOptions {
    /// Admin address of any daemon of the cell
    #[bpaf(env("PLANTAINGAUGE_ADMIN"), argument("IP:PORT"))]
    pub(crate) admin: SocketAddr,
    /// Print JSON
    pub(crate) json: bool,
}

/// Subcommands of `lists`.
#[derive(Clone, Debug, Bpaf)]
pub(crate) enum ListsCommand {
    /// Print the lists with their version
    #[bpaf(command("get"))]
    Get {
        /// Address of the platform's object API
        #[bpaf(env("PLANTAINGAUGE_PLATFORM"), argument("IP:PORT"))]
        platform: SocketAddr,
    },
    /// Check a document without changing anything
    #[bpaf(command("check"))]
    Check {
        /// TOML document with the lists
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Replace the lists with a document, unless they were edited since `version`
    #[bpaf(command("put"))]
    Put {
        /// Address of the platform's object API
        #[bpaf(env("PLANTAINGAUGE_PLATFORM"), argument("IP:PORT"))]
        platform: SocketAddr,
        /// Version that the document was made from; 0 for the first lists
        #[bpaf(argument("N"))]
        version: u64,
        /// Admin address of a daemon to notify at once; may be repeated
        #[bpaf(argument("IP:PORT"))]
        admin: Vec<SocketAddr>,
        /// TOML document with the lists
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
}
