//! Processor time and memory of this process, by thread name.

use std::fs;
use std::time::Duration;

/// Ticks a second in which the kernel counts processor time.
const TICKS_PER_SECOND: u64 = 100;

/// Sum of the processor time of all threads whose name starts with `prefix`.
///
/// Names are cut at 15 bytes by the kernel.
#[must_use]
pub fn thread_time(prefix: &str) -> Duration {
    let Ok(tasks) = fs::read_dir("/proc/self/task") else {
        return Duration::ZERO;
    };
    let mut ticks = 0;
    for task in tasks.flatten() {
        let path = task.path();
        let name = fs::read_to_string(path.join("comm")).unwrap_or_default();
        if name.trim_end().starts_with(prefix) {
            ticks += fs::read_to_string(path.join("stat")).map_or(0, |stat| parse_ticks(&stat));
        }
    }
    Duration::from_millis(ticks * 1000 / TICKS_PER_SECOND)
}

/// User and system time from a line of `/proc/*/stat`.
fn parse_ticks(stat: &str) -> u64 {
    let after_name = stat.rsplit_once(')').map_or("", |(_, rest)| rest);
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let field = |index: usize| fields.get(index).and_then(|f| f.parse().ok()).unwrap_or(0);
    field(11) + field(12)
}

/// Resident memory of this process in bytes.
#[must_use]
pub fn resident_bytes() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|l| l.split_whitespace().next());
    kilobytes.and_then(|k| k.parse::<u64>().ok()).unwrap_or(0) * 1024
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn can_parse_ticks_after_a_name_with_spaces() {
        let stat = "7 (a b) S 1 2 3 4 5 6 7 8 9 10 30 12 0 0 20 0";
        assert_eq!(parse_ticks(stat), 42);
    }

    #[test]
    fn reads_its_own_memory() {
        assert!(resident_bytes() > 0);
    }
}
