//! A node gets SIGTERM while a caller behind a slow link receives its answer.
//! Rule LOST: around planned work a process has read a whole request and the channel ends without a
//! complete answer, once the request has been passed on to a back end.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::time::{Duration, Instant};

use socket2::{Domain, Socket, Type};

use crate::caller::{Call, is_ready, send};
use crate::deployment::{Deployment, MachineSpec, Verdict, route, wait_for};
use crate::record::Record;

/// Length of the answer's body.
const ANSWER_BYTES: usize = 15_500_000;
/// Window of the caller's channel.
const WINDOW_BYTES: usize = 65_536;
/// What the caller's link carries in a second: 30 Mbit.
const BYTES_PER_SECOND: f64 = 3_750_000.0;
/// Time limit of the request and `timeoutMs` of its route.
const LIMIT_MS: u64 = 5_000;

pub fn run(case: &Path, trouble: bool) -> Result<Verdict, String> {
    let archive = MachineSpec {
        answer_bytes: ANSWER_BYTES,
        ..MachineSpec::new("archive")
    };
    let mut d = Deployment::new(case, &[MachineSpec::new("search"), archive])?;
    d.configure(
        3,
        &[route(
            "r-archive",
            "/archive/",
            "unsafe",
            LIMIT_MS,
            "archive",
        )],
    );
    d.start_all()?;
    let served =
        || send(&d.record, d.callers(0), &Call::post("/archive/1", LIMIT_MS)).status == 200;
    if !wait_for(Duration::from_secs(20), || is_ready(d.ready(0)) && served()) {
        return Err("requests are not served".to_owned());
    }
    // Longer than `stabilityWindowMs`.
    std::thread::sleep(Duration::from_secs(4));
    let call = Call::post("/archive/record", LIMIT_MS);
    let mut stream = open(d.callers(0)).map_err(|e| e.to_string())?;
    let sent = Instant::now();
    d.record.say(&format!(
        "sent id={} to machine=0, timeoutMs={LIMIT_MS}",
        call.id
    ));
    stream
        .write_all(call.head(0).as_bytes())
        .map_err(|e| e.to_string())?;
    if trouble {
        d.signal(0, "TERM");
        report_end(d.pid(0), &d.record);
    }
    let _ = stream.set_read_timeout(Some(Duration::from_secs(2)));
    let (received, end) = receive_slowly(&mut stream, ANSWER_BYTES);
    let took = sent.elapsed().as_millis();
    let ran = d.back_ends[1]
        .runs
        .lock()
        .unwrap()
        .iter()
        .filter(|r| r.request == call.id)
        .count();
    d.record.say(&format!(
        "answer id={}: {received} of {ANSWER_BYTES} bytes of the body, {end}, {took} ms after it was sent; runs: {ran}",
        call.id
    ));
    Ok(if received < ANSWER_BYTES {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

/// Records when a process ends.
fn report_end(pid: u32, record: &Record) {
    let (started, record) = (Instant::now(), record.clone());
    std::thread::spawn(move || {
        let is_running = || {
            let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
            let state = stat
                .rsplit(')')
                .next()
                .unwrap_or_default()
                .trim_start()
                .chars()
                .next();
            state.is_some_and(|s| s != 'Z')
        };
        while is_running() {
            std::thread::sleep(Duration::from_millis(10));
        }
        let ms = started.elapsed().as_millis();
        record.say(&format!("pid={pid} has ended {ms} ms after SIGTERM"));
    });
}

/// Opens a channel with a small window.
fn open(address: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_recv_buffer_size(WINDOW_BYTES)?;
    socket.connect(&address.into())?;
    Ok(socket.into())
}

/// Receives an answer as fast as the link carries it; returns the bytes of its body and how it ended.
fn receive_slowly(stream: &mut TcpStream, length: usize) -> (usize, &'static str) {
    let started = Instant::now();
    let mut chunk = [0; 16_384];
    let mut head = Vec::new();
    let mut total = 0;
    let mut body = 0;
    loop {
        let count = match stream.read(&mut chunk) {
            Ok(0) => return (body, "then the channel was closed"),
            Ok(count) => count,
            Err(_) => return (body, "then the channel was reset or silent"),
        };
        total += count;
        if body == 0 {
            head.extend_from_slice(&chunk[..count]);
            let end = head.windows(4).position(|w| w == b"\r\n\r\n");
            body = end.map_or(0, |end| head.len() - end - 4);
        } else {
            body += count;
        }
        if body >= length {
            return (body, "complete");
        }
        let due = Duration::from_secs_f64(total as f64 / BYTES_PER_SECOND);
        std::thread::sleep(due.saturating_sub(started.elapsed()));
    }
}
