//! Command line of the tool.

use std::path::PathBuf;

use bpaf::Bpaf;

/// What to run.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options("bench"))]
pub(crate) enum Command {
    /// Run both users' deployments in small, replay their traces and judge the outcomes
    #[bpaf(command("demo"))]
    Demo(#[bpaf(external(demo_options))] DemoOptions),
    /// Measure what the path adds to a direct call, at a given rate
    #[bpaf(command("load"))]
    Load(#[bpaf(external(load_options))] LoadOptions),
    /// Bring losses about and measure for how long keys are unavailable
    #[bpaf(command("faults"))]
    Faults(#[bpaf(external(faults_options))] FaultsOptions),
    /// Measure how evenly back ends are loaded while the hottest keys change
    #[bpaf(command("balance"))]
    Balance(#[bpaf(external(balance_options))] BalanceOptions),
    /// Edit the lists with losses right after an acceptance, and measure when edits are in force
    #[bpaf(command("lists"))]
    Lists(#[bpaf(external(lists_options))] ListsOptions),
    /// Measure how much of its allowance a plan gets while its demand moves
    #[bpaf(command("limits"))]
    Limits(#[bpaf(external(limits_options))] LimitsOptions),
    /// Measure what each role costs, against the sizes that it grows with
    #[bpaf(command("capacity"))]
    Capacity(#[bpaf(external(capacity_options))] CapacityOptions),
    /// Run a stand-in of the platform with the press office's lists, until ended
    #[bpaf(command("platform"))]
    Platform {
        /// Address to listen on
        #[bpaf(argument("IP:PORT"))]
        listen: std::net::SocketAddr,
    },
    /// Run a stand-in back end of service `credits`, until ended
    #[bpaf(command("back-end"))]
    BackEnd(#[bpaf(external(back_end_options))] BackEndOptions),
    /// Probe keys of service `credits`, then judge what back ends recorded
    #[bpaf(command("probe"))]
    Probe(#[bpaf(external(probe_options))] ProbeOptions),
    /// Write the trace of a user to standard output
    #[bpaf(command("trace"))]
    Trace(#[bpaf(external(trace_options))] TraceOptions),
}

/// Options of `demo`.
#[derive(Clone, Debug, Bpaf)]
pub(crate) struct DemoOptions {
    /// Seed for entry daemons and small shifts in time
    #[bpaf(argument("N"), fallback(1))]
    pub(crate) seed: u64,
    /// Replay only this trace, against the deployment whose zones it names
    #[bpaf(argument("FILE"))]
    pub(crate) trace: Option<PathBuf>,
}

/// Options of `trace`.
#[derive(Clone, Debug, Bpaf)]
pub(crate) struct TraceOptions {
    /// The user: kiosk or court
    #[bpaf(argument("USER"))]
    pub(crate) user: String,
    /// Seed for keys and times
    #[bpaf(argument("N"), fallback(1))]
    pub(crate) seed: u64,
}

/// Options of `load`.
#[derive(Clone, Debug, Bpaf)]
pub(crate) struct LoadOptions {
    /// Requests a second at each daemon
    #[bpaf(argument("R"), fallback(2000))]
    pub(crate) rate: u32,
    /// Seconds of each phase
    #[bpaf(argument("S"), fallback(5))]
    pub(crate) seconds: u64,
    /// Traffic threads of each daemon
    #[bpaf(argument("N"), fallback(2))]
    pub(crate) threads: usize,
    /// Regions, of two daemons a service in all: 1 or 2
    #[bpaf(argument("N"), fallback(1))]
    pub(crate) regions: u32,
    /// Seed for keys
    #[bpaf(argument("N"), fallback(1))]
    pub(crate) seed: u64,
}

/// Options of `faults`.
#[derive(Clone, Debug, Bpaf)]
pub(crate) struct FaultsOptions {
    /// Seed for keys
    #[bpaf(argument("N"), fallback(1))]
    pub(crate) seed: u64,
    /// Run only this case
    #[bpaf(argument("NAME"))]
    pub(crate) case: Option<String>,
    /// Bring every two losses about together, and judge the laws only
    pub(crate) pairs: bool,
}

/// Options of `balance`.
#[derive(Clone, Debug, Bpaf)]
pub(crate) struct BalanceOptions {
    /// Requests a second in all
    #[bpaf(argument("R"), fallback(1000))]
    pub(crate) rate: u32,
    /// Seconds for which the hottest keys stay the same
    #[bpaf(argument("S"), fallback(20))]
    pub(crate) seconds: u64,
    /// Number of such periods
    #[bpaf(argument("N"), fallback(4))]
    pub(crate) periods: u32,
    /// Seed for keys
    #[bpaf(argument("N"), fallback(1))]
    pub(crate) seed: u64,
}

/// Options of `lists`.
#[derive(Clone, Debug, Bpaf)]
pub(crate) struct ListsOptions {
    /// Seed for pauses and for the daemons that are told
    #[bpaf(argument("N"), fallback(1))]
    pub(crate) seed: u64,
    /// Run only this case
    #[bpaf(argument("NAME"))]
    pub(crate) case: Option<String>,
    /// Leave telling daemons of accepted edits to the store alone
    pub(crate) store_alone: bool,
}

/// Options of `limits`.
#[derive(Clone, Debug, Bpaf)]
pub(crate) struct LimitsOptions {
    /// Seed for the daemons that the demand moves to
    #[bpaf(argument("N"), fallback(1))]
    pub(crate) seed: u64,
    /// Run only this case
    #[bpaf(argument("NAME"))]
    pub(crate) case: Option<String>,
}

/// Options of `capacity`.
#[derive(Clone, Debug, Bpaf)]
pub(crate) struct CapacityOptions {
    /// Print tab-separated values instead of a table
    pub(crate) tsv: bool,
}

/// Options of `back-end`.
#[derive(Clone, Debug, Bpaf)]
pub(crate) struct BackEndOptions {
    /// Name of the machine
    #[bpaf(argument("NAME"))]
    pub(crate) machine: String,
    /// Admin address of the daemon beside it
    #[bpaf(argument("IP:PORT"))]
    pub(crate) admin: std::net::SocketAddr,
    /// File that executions are appended to, one JSON object a line
    #[bpaf(argument("FILE"))]
    pub(crate) record: PathBuf,
}

/// Options of `probe`.
#[derive(Clone, Debug, Bpaf)]
pub(crate) struct ProbeOptions {
    /// Daemon to send to; repeat for each
    #[bpaf(argument("IP:PORT"), some("name at least one daemon"))]
    pub(crate) entry: Vec<std::net::SocketAddr>,
    /// Record of a back end; repeat for each
    #[bpaf(argument("FILE"))]
    pub(crate) record: Vec<PathBuf>,
    /// Seconds of probing
    #[bpaf(argument("S"), fallback(10))]
    pub(crate) seconds: u64,
    /// Longest time in milliseconds for which a key may be unavailable; 0 for any
    #[bpaf(argument("MS"), fallback(2000))]
    pub(crate) bound_ms: u64,
    /// Seed for keys
    #[bpaf(argument("N"), fallback(1))]
    pub(crate) seed: u64,
}
