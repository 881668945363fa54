//! Log lines on their way to standard output, without blocking the traffic.

use std::collections::VecDeque;
use std::io::Write;
use std::sync::Mutex;
use std::time::Duration;

/// Most lines that wait to be written.
const MAX_LINES: usize = 512;
/// Time between two writes.
const FLUSH_INTERVAL: Duration = Duration::from_millis(50);

/// Lines that wait, and how many were left out since the last write.
#[derive(Default)]
struct Waiting {
    lines: VecDeque<String>,
    left_out: u64,
}

static WAITING: Mutex<Option<Waiting>> = Mutex::new(None);

/// Adds a line; it is left out and counted if too many wait.
pub fn push(line: String) {
    let mut guard = match WAITING.lock() {
        Ok(guard) => guard,
        Err(poisoned) => poisoned.into_inner(),
    };
    let waiting = guard.get_or_insert_with(Waiting::default);
    if waiting.lines.len() >= MAX_LINES {
        waiting.left_out += 1;
    } else {
        waiting.lines.push_back(line);
    }
}

/// Writes what waits to standard output.
pub fn flush() {
    let taken = match WAITING.lock() {
        Ok(mut guard) => guard.take(),
        Err(poisoned) => poisoned.into_inner().take(),
    };
    let Some(waiting) = taken else { return };
    let mut text = String::new();
    for line in waiting.lines {
        text.push_str(&line);
        text.push('\n');
    }
    if waiting.left_out > 0 {
        text.push_str(&format!(
            "event=lines-left-out count={}\n",
            waiting.left_out
        ));
    }
    // Nobody can be told if standard output is gone.
    let _ = std::io::stdout().write_all(text.as_bytes());
}

/// Writes what waits from time to time.
pub async fn run() {
    loop {
        tokio::time::sleep(FLUSH_INTERVAL).await;
        flush();
    }
}
