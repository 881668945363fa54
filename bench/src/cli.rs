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
