//! Logging: one line of key=value pairs for each event, on standard error.

use std::fmt::Write;
use std::time::{SystemTime, UNIX_EPOCH};

use log::kv::{Error, Key, Value, VisitSource};

/// Installs the global logger with the given maximum level. Records of other crates than
/// `daemon` are limited to warnings.
pub(crate) fn start(level: log::LevelFilter) {
    let result = fern::Dispatch::new()
        .level(log::LevelFilter::Warn)
        .level_for("daemon", level)
        .format(|out, message, record| {
            let mut line = format!("time={} level={}", unix_millis(), record.level());
            let _ = record.key_values().visit(&mut PairWriter(&mut line));
            let text = message.to_string();
            if !text.is_empty() {
                let _ = write!(line, " message={}", quoted(&text));
            }
            out.finish(format_args!("{line}"));
        })
        .chain(std::io::stderr())
        .apply();
    if let Err(error) = result {
        eprintln!("plantaingauged: cannot start logging: {error}");
    }
}

fn unix_millis() -> u128 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_millis())
}

/// Returns `text` in quotes and with escapes if it is empty or contains white space or quotes.
fn quoted(text: &str) -> String {
    let plain = !text.is_empty() && !text.contains(|c: char| c.is_whitespace() || c == '"');
    if plain {
        text.to_owned()
    } else {
        format!("{text:?}")
    }
}

/// Appends each pair of a record to a line as ` key=value`.
struct PairWriter<'a>(&'a mut String);

impl<'kvs> VisitSource<'kvs> for PairWriter<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let _ = write!(self.0, " {key}={}", quoted(&value.to_string()));
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::quoted;

    #[test]
    fn quotes_what_is_not_one_word() {
        assert_eq!(quoted("plain"), "plain");
        assert_eq!(quoted("two words"), "\"two words\"");
        assert_eq!(quoted("a\nb"), "\"a\\nb\"");
        assert_eq!(quoted(""), "\"\"");
    }
}
