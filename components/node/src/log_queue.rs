//! Buffers log lines and writes them to standard output in batches, so that logging does not block
//! requests.

use std::collections::VecDeque;
use std::io::Write;
use std::sync::Mutex;
use std::time::Duration;

/// Maximum number of buffered lines.
const MAX_LINES: usize = 512;
/// Interval between two writes.
const FLUSH_INTERVAL: Duration = Duration::from_millis(50);

/// Buffered lines, and the number of lines dropped since the last write.
#[derive(Default)]
struct Backlog {
    lines: VecDeque<String>,
    dropped: u64,
}

static BACKLOG: Mutex<Option<Backlog>> = Mutex::new(None);

/// Buffers a line; when the buffer is full the line is dropped and counted.
pub fn push(line: String) {
    let mut guard = match BACKLOG.lock() {
        Ok(guard) => guard,
        Err(poisoned) => poisoned.into_inner(),
    };
    let backlog = guard.get_or_insert_with(Backlog::default);
    if backlog.lines.len() >= MAX_LINES {
        backlog.dropped += 1;
    } else {
        backlog.lines.push_back(line);
    }
}

/// Writes the buffered lines to standard output, and the number of dropped ones if there are any.
pub fn flush() {
    let backlog = match BACKLOG.lock() {
        Ok(mut guard) => guard.take(),
        Err(poisoned) => poisoned.into_inner().take(),
    };
    let Some(backlog) = backlog else { return };
    let mut text = String::new();
    for line in backlog.lines {
        text.push_str(&line);
        text.push('\n');
    }
    if backlog.dropped > 0 {
        text.push_str(&format!("event=lines-left-out count={}\n", backlog.dropped));
    }
    // An error on standard output cannot be reported anywhere.
    let _ = std::io::stdout().write_all(text.as_bytes());
}

/// Flushes the buffer periodically, for as long as the process runs.
pub async fn run() {
    loop {
        tokio::time::sleep(FLUSH_INTERVAL).await;
        flush();
    }
}
