//! Logs: one line of key=value pairs for each event, on standard error.

use std::fmt::Write;
use std::time::{SystemTime, UNIX_EPOCH};

use log::kv::{Error, Key, Value, VisitSource};

/// Starts logging at the given level.
pub(crate) fn start(level: log::LevelFilter) {
    let result = fern::Dispatch::new()
        .level(log::LevelFilter::Warn)
        .level_for("daemon", level)
        .format(|out, message, record| {
            let mut line = format!("time={} level={}", unix_millis(), record.level());
            let _ = record.key_values().visit(&mut Fields(&mut line));
            let text = message.to_string();
            if !text.is_empty() {
                let _ = write!(line, " message={}", quoted(&text));
            }
            out.finish(format_args!("{line}"));
        })
        .chain(std::io::stderr())
        .apply();
    if let Err(error) = result {
        eprintln!("plantaingauged: no logs: {error}");
    }
}

fn unix_millis() -> u128 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_millis())
}

/// Quotes a value that would not be one word of a line.
fn quoted(text: &str) -> String {
    let plain = !text.is_empty() && !text.contains(|c: char| c.is_whitespace() || c == '"');
    if plain {
        text.to_owned()
    } else {
        format!("{text:?}")
    }
}

struct Fields<'a>(&'a mut String);

impl<'kvs> VisitSource<'kvs> for Fields<'_> {
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
