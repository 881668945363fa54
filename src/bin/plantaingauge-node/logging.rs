//! Logs: one line of key=value pairs for each event, on standard output.

use std::fmt::Write;

use log::kv::{Error, Key, Value, VisitSource};
use node::log_queue;

/// Starts logging at the given level.
pub(crate) fn start(level: log::LevelFilter) {
    let result = fern::Dispatch::new()
        .level(level)
        .chain(fern::Output::call(|record| {
            let mut line = format!("level={}", record.level());
            // Writing to a string does not fail.
            let _ = record.key_values().visit(&mut Fields(&mut line));
            log_queue::push(line);
        }))
        .apply();
    if let Err(error) = result {
        eprintln!("plantaingauge-node: no logs: {error}");
    }
}

struct Fields<'a>(&'a mut String);

impl<'kvs> VisitSource<'kvs> for Fields<'_> {
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
