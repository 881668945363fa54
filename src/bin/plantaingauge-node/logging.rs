//! Logging: one line of key=value pairs for each event, on standard output.

use std::fmt::Write;

use log::kv::{Error, Key, Value, VisitSource};
use node::log_queue;

/// Installs the global logger with the given maximum level.
pub(crate) fn start(level: log::LevelFilter) {
    let result = fern::Dispatch::new()
        .level(level)
        .chain(fern::Output::call(|record| {
            let mut line = format!("level={}", record.level());
            // Writing to a string can't fail.
            let _ = record.key_values().visit(&mut PairWriter(&mut line));
            log_queue::push(line);
        }))
        .apply();
    if let Err(error) = result {
        eprintln!("plantaingauge-node: cannot start logging: {error}");
    }
}

/// Appends each pair of a record to a line as ` key=value`.
struct PairWriter<'a>(&'a mut String);

impl<'kvs> VisitSource<'kvs> for PairWriter<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let text = value.to_string();
        let plain = !text.is_empty() && !text.contains(|c: char| c.is_whitespace() || c == '"');
        let _ = match plain {
            true => write!(self.0, " {key}={text}"),
            false => write!(self.0, " {key}={text:?}"),
        };
        Ok(())
    }
}
