//! Logs of the tool and of the daemons that it runs.

use timer::{BootClock, Clock};

/// Environment variable that holds the log level.
const LEVEL_VARIABLE: &str = "BENCH_LOG";

/// Installs a logger that writes to standard error at the level in `BENCH_LOG`. Without a valid
/// level there, nothing is logged.
pub(crate) fn init() {
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
            let mut visitor = FieldWriter(&mut fields);
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
        eprintln!("cannot install the logger: {error}");
    }
}

/// Appends ` key=value` for each pair of a log record.
struct FieldWriter<'a>(&'a mut String);

impl<'kvs> log::kv::VisitSource<'kvs> for FieldWriter<'_> {
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
