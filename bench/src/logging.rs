//! Logs of the daemons that an experiment runs.

use timer::{BootClock, Clock};

/// Environment variable with the level of detail.
const LEVEL_VARIABLE: &str = "BENCH_LOG";

/// Writes log lines to standard error at the level in `BENCH_LOG`; nothing without it.
pub(crate) fn start() {
    let level = std::env::var(LEVEL_VARIABLE)
        .ok()
        .and_then(|l| l.parse().ok());
    let Some(level) = level else { return };
    let result = fern::Dispatch::new()
        .level(log::LevelFilter::Off)
        .level_for("daemon", level)
        .level_for("bench", level)
        .format(|out, _, record| {
            let mut fields = String::new();
            let mut visitor = Fields(&mut fields);
            let _ = record.key_values().visit(&mut visitor);
            let thread = std::thread::current();
            let name = thread.name().unwrap_or_default();
            let at = BootClock.now().as_millis();
            out.finish(format_args!(
                "at={at} level={} thread={name}{fields}",
                record.level()
            ));
        })
        .chain(std::io::stderr())
        .apply();
    if let Err(error) = result {
        eprintln!("no logs: {error}");
    }
}

struct Fields<'a>(&'a mut String);

impl<'kvs> log::kv::VisitSource<'kvs> for Fields<'_> {
    fn visit_pair(
        &mut self,
        key: log::kv::Key<'kvs>,
        value: log::kv::Value<'kvs>,
    ) -> Result<(), log::kv::Error> {
        use std::fmt::Write;
        let _ = write!(self.0, " {key}={value}");
        Ok(())
    }
}
