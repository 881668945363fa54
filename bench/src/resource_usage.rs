//! Processor time, memory and loopback traffic of this process.

use std::fs;
use std::time::Duration;

/// Bytes of a thread's name that the kernel keeps.
const MAX_NAME_BYTES: usize = 15;

/// Returns the processor time of all running threads of this process whose name starts with
/// `prefix`; zero when `/proc` can't be read.
///
/// The kernel truncates names to 15 bytes, so only the first 15 bytes of `prefix` count.
#[must_use]
pub fn thread_cpu_time(prefix: &str) -> Duration {
    let prefix = prefix.get(..MAX_NAME_BYTES).unwrap_or(prefix);
    let Ok(tasks) = fs::read_dir("/proc/self/task") else {
        return Duration::ZERO;
    };
    let mut nanos = 0;
    for task in tasks.flatten() {
        let path = task.path();
        let name = fs::read_to_string(path.join("comm")).unwrap_or_default();
        if name.trim_end().starts_with(prefix) {
            nanos += fs::read_to_string(path.join("schedstat")).map_or(0, |s| parse_nanos(&s));
        }
    }
    Duration::from_nanos(nanos)
}

/// Returns the processor time in nanoseconds from the text of a `/proc/*/schedstat` file; 0 when
/// it can't be parsed.
fn parse_nanos(schedstat: &str) -> u64 {
    schedstat
        .split_whitespace()
        .next()
        .and_then(|f| f.parse().ok())
        .unwrap_or(0)
}

/// Returns the resident memory of this process in bytes; 0 when `/proc` can't be read.
#[must_use]
pub fn resident_bytes() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|l| l.split_whitespace().next());
    kilobytes.and_then(|k| k.parse::<u64>().ok()).unwrap_or(0) * 1024
}

/// Returns the bytes received on the loopback interface since boot, headers included; 0 when
/// `/proc` can't be read.
#[must_use]
pub fn loopback_bytes() -> u64 {
    let devices = fs::read_to_string("/proc/net/dev").unwrap_or_default();
    let line = devices
        .lines()
        .find_map(|l| l.trim_start().strip_prefix("lo:"));
    let received = line.and_then(|l| l.split_whitespace().next());
    received.and_then(|r| r.parse().ok()).unwrap_or(0)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn can_parse_processor_time() {
        assert_eq!(parse_nanos("1234 56 7\n"), 1234);
        assert_eq!(parse_nanos(""), 0);
    }

    #[test]
    fn reads_its_own_memory() {
        assert!(resident_bytes() > 0);
    }
}
