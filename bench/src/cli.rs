//! Command line of the tool.

use std::path::PathBuf;

use bpaf::Bpaf;

/// Subcommand and its options.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options("bench"))]
pub(crate) enum Command {
    /// Run small deployments of both users, replay their traces and check the outcomes
    #[bpaf(command("demo"))]
    Demo(#[bpaf(external(demo_options))] DemoOptions),
    /// Measure the latency that daemons add to a direct call, at a given rate
    #[bpaf(command("load"))]
    Load(#[bpaf(external(load_options))] LoadOptions),
    /// Inject failures and measure how long keys are unavailable
    #[bpaf(command("faults"))]
    Faults(#[bpaf(external(faults_options))] FaultsOptions),
    /// Measure how evenly back ends are loaded while the hottest keys change
    #[bpaf(command("balance"))]
    Balance(#[bpaf(external(balance_options))] BalanceOptions),
    /// Edit the lists, inject a failure right after an edit is accepted, and measure when edits are in force
    #[bpaf(command("lists"))]
    Lists(#[bpaf(external(lists_options))] ListsOptions),
    /// Measure how much of its allowance a plan gets while its demand moves between daemons
    #[bpaf(command("limits"))]
    Limits(#[bpaf(external(limits_options))] LimitsOptions),
    /// Measure the resources that each role uses, and how they grow with its size
    #[bpaf(command("capacity"))]
    Capacity(#[bpaf(external(capacity_options))] CapacityOptions),
    /// Run a stand-in of the platform with the press office's lists, until killed or for 10 minutes at most
    #[bpaf(command("platform"))]
    Platform {
        /// Address to listen on
        #[bpaf(argument("IP:PORT"))]
        listen: std::net::SocketAddr,
    },
    /// Run a stand-in back end of service `credits`, until killed or for 10 minutes at most
    #[bpaf(command("back-end"))]
    BackEnd(#[bpaf(external(back_end_options))] BackEndOptions),
    /// Probe keys of service `credits`, then check what the back ends recorded
    #[bpaf(command("probe"))]
    Probe(#[bpaf(external(probe_options))] ProbeOptions),
    /// Write the trace of a user to standard output
    #[bpaf(command("trace"))]
    Trace(#[bpaf(external(trace_options))] TraceOptions),
}

/// Options of `demo`.
#[derive(Clone, Debug, Bpaf)]
pub(crate) struct DemoOptions {
    /// Seed for the choice of entry daemons and for small shifts of send times
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
    /// Requests per second at each daemon
    #[bpaf(argument("R"), fallback(2000))]
    pub(crate) rate: u32,
    /// Seconds of each phase
    #[bpaf(argument("S"), fallback(5))]
    pub(crate) seconds: u64,
    /// Traffic threads of each daemon
    #[bpaf(argument("N"), fallback(2))]
    pub(crate) threads: usize,
    /// Regions that the two daemons of each service are spread over: 1 or 2
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
    /// Inject every two failures together, and check the invariants only, not the bounds
    pub(crate) pairs: bool,
}

/// Options of `balance`.
#[derive(Clone, Debug, Bpaf)]
pub(crate) struct BalanceOptions {
    /// Requests per second over all daemons
    #[bpaf(argument("R"), fallback(1000))]
    pub(crate) rate: u32,
    /// Seconds of a period, for which the hottest keys stay the same
    #[bpaf(argument("S"), fallback(20))]
    pub(crate) seconds: u64,
    /// Number of periods
    #[bpaf(argument("N"), fallback(4))]
    pub(crate) periods: u32,
    /// Seed for keys
    #[bpaf(argument("N"), fallback(1))]
    pub(crate) seed: u64,
}

/// Options of `lists`.
#[derive(Clone, Debug, Bpaf)]
pub(crate) struct ListsOptions {
    /// Seed for pauses between edits and for the daemons that edits are announced to
    #[bpaf(argument("N"), fallback(1))]
    pub(crate) seed: u64,
    /// Run only this case
    #[bpaf(argument("NAME"))]
    pub(crate) case: Option<String>,
    /// Announce accepted edits to no daemon, so that daemons learn of them from the store alone
    pub(crate) store_alone: bool,
}

/// Options of `limits`.
#[derive(Clone, Debug, Bpaf)]
pub(crate) struct LimitsOptions {
    /// Seed for the choice of the daemons that the demand moves to
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
    /// Admin address of the daemon on the same machine
    #[bpaf(argument("IP:PORT"))]
    pub(crate) admin: std::net::SocketAddr,
    /// File that executions are appended to, one JSON object per line
    #[bpaf(argument("FILE"))]
    pub(crate) record: PathBuf,
}

/// Options of `probe`.
#[derive(Clone, Debug, Bpaf)]
pub(crate) struct ProbeOptions {
    /// Caller address of a daemon to send to; repeatable
    #[bpaf(argument("IP:PORT"), some("name at least one daemon"))]
    pub(crate) entry: Vec<std::net::SocketAddr>,
    /// Execution record of a back end; repeatable
    #[bpaf(argument("FILE"))]
    pub(crate) record: Vec<PathBuf>,
    /// Seconds of probing
    #[bpaf(argument("S"), fallback(10))]
    pub(crate) seconds: u64,
    /// Longest time in milliseconds for which a key may be unavailable; 0 for no bound
    #[bpaf(argument("MS"), fallback(2000))]
    pub(crate) bound_ms: u64,
    /// Seed for keys
    #[bpaf(argument("N"), fallback(1))]
    pub(crate) seed: u64,
}
