//! `bench trace`: writes a user's trace.

use bench::trace::{EventKind, EventLine, Expect, Line, RequestLine};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::cli::TraceOptions;
use crate::cmd::Error;

/// Ordinary requests of a trace.
const REQUESTS: u64 = 400;

/// Time over which they are spread, in milliseconds.
const SPAN_MS: u64 = 8_000;

/// Requests of the customer with a narrow plan.
const FLOOD: u64 = 60;

/// Names that differ between the users.
struct Names {
    zones: [&'static str; 4],
    customer: &'static str,
    /// Customer that may not use the keyed service.
    limited: &'static str,
    keyed: &'static str,
    keyed_lookup: &'static str,
    order: &'static str,
    open: [(&'static str, &'static str); 2],
}

const KIOSK: Names = Names {
    zones: ["nord-a", "nord-b", "sud-a", "sud-b"],
    customer: "vendor",
    limited: "distributor",
    keyed: "credits",
    keyed_lookup: "balance",
    order: "post",
    open: [("listings", "bundles"), ("statements", "past")],
};

const COURT: Names = Names {
    zones: ["polnoc-a", "polnoc-b", "poludnie-a", "poludnie-b"],
    customer: "member",
    limited: "student",
    keyed: "extracts",
    keyed_lookup: "state",
    order: "order",
    open: [("searches", "judgments"), ("records", "full")],
};

/// Writes the trace.
///
/// # Errors
/// Fails for an unknown user.
pub(crate) fn run(options: &TraceOptions) -> Result<bool, Error> {
    let names = match options.user.as_str() {
        "kiosk" => &KIOSK,
        "court" => &COURT,
        other => return Err(format!("user {other:?}: use kiosk or court").into()),
    };
    println!(
        "# Made by: bench trace --user {} --seed {}",
        options.user, options.seed
    );
    for line in lines(names, options.seed) {
        println!("{}", serde_json::to_string(&line)?);
    }
    Ok(true)
}

fn lines(names: &Names, seed: u64) -> Vec<Line> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut lines: Vec<Line> = (0..REQUESTS)
        .map(|number| Line::Request(ordinary(names, number, &mut random)))
        .collect();
    lines.extend((0..FLOOD).map(|number| Line::Request(flood(names, number))));
    lines.extend(refusals(names).into_iter().map(Line::Request));
    lines.extend(events(names).into_iter().map(Line::Event));
    lines.sort_by_key(Line::at_ms);
    lines
}

fn base(names: &Names, id: String, at_ms: u64) -> RequestLine {
    RequestLine {
        at_ms,
        id,
        zone: names.zones[0].to_owned(),
        customer: Some(format!("{}-1", names.customer)),
        service: names.keyed.to_owned(),
        operation: names.keyed_lookup.to_owned(),
        key: None,
        body: None,
        ticket: None,
        copies: 0,
        patience_ms: 5_000,
        expect: Expect::Answered,
    }
}

/// Lookups, orders and repeated orders. Orders may meet a loss, so they are only settled.
fn ordinary(names: &Names, number: u64, random: &mut StdRng) -> RequestLine {
    let at_ms = random.random_range(0..SPAN_MS);
    let mut line = base(names, format!("r{number}"), at_ms);
    line.zone = names.zones[random.random_range(0..4)].to_owned();
    line.customer = Some(format!("{}-{}", names.customer, random.random_range(0..40)));
    let kind = random.random_range(0..10);
    if kind < 3 {
        let (service, operation) = names.open[random.random_range(0..2)];
        line.service = service.to_owned();
        line.operation = operation.to_owned();
        return line;
    }
    // A few hot keys and many cold ones.
    let key = if random.random_bool(0.4) {
        random.random_range(0..12)
    } else {
        random.random_range(0..5_000)
    };
    line.key = Some(format!("key-{key}"));
    if kind < 6 {
        return line;
    }
    line.operation = names.order.to_owned();
    line.body = Some(format!("amount={}", random.random_range(1..500)));
    line.copies = if kind == 9 { 3 } else { 0 };
    line.expect = Expect::Settled;
    line
}

fn flood(names: &Names, number: u64) -> RequestLine {
    let mut line = base(names, format!("f{number}"), 500 + number * 10);
    let (service, operation) = names.open[0];
    line.service = service.to_owned();
    line.operation = operation.to_owned();
    line.customer = Some("flood".to_owned());
    line.patience_ms = 0;
    line.expect = Expect::Limited;
    line
}

fn refusals(names: &Names) -> Vec<RequestLine> {
    let refused = |number: u64, code: &str, change: &dyn Fn(&mut RequestLine)| {
        let mut line = base(names, format!("x{number}"), 200 + number * 20);
        line.key = Some("key-1".to_owned());
        line.patience_ms = 0;
        line.expect = Expect::Refused(code.to_owned());
        change(&mut line);
        line
    };
    let order = |line: &mut RequestLine| {
        line.operation = names.order.to_owned();
        line.body = Some("amount=1".to_owned());
    };
    vec![
        refused(0, "missing-customer", &|l| l.customer = None),
        refused(1, "unknown-customer", &|l| {
            l.customer = Some("nobody".to_owned())
        }),
        refused(2, "not-in-plan", &|l| {
            l.customer = Some(names.limited.to_owned())
        }),
        refused(3, "unknown-service", &|l| l.service = "absent".to_owned()),
        refused(4, "unknown-operation", &|l| {
            l.operation = "absent".to_owned()
        }),
        refused(5, "missing-key", &|l| l.key = None),
        refused(6, "bad-request", &|l| {
            l.customer = Some("no body".to_owned())
        }),
        refused(7, "ticket-malformed", &|l| {
            order(l);
            l.ticket = Some("nonsense".to_owned());
        }),
        refused(8, "ticket-forged", &|l| {
            order(l);
            // The right length and version, signed with nothing.
            l.ticket = Some(format!("AQ{}", "A".repeat(90 - 2)));
        }),
    ]
}

/// A lost owner, its replacement, lost answers of the platform, a planned stop and a crashed
/// back end.
fn events(names: &Names) -> Vec<EventLine> {
    let machine = |zone: usize| format!("{}-{}", names.zones[zone], names.keyed);
    let event = |at_ms, event, machine| EventLine {
        at_ms,
        event,
        machine,
    };
    vec![
        event(2_000, EventKind::Kill, machine(1)),
        event(3_500, EventKind::AnswersLost, String::new()),
        event(4_100, EventKind::PlatformWell, String::new()),
        event(4_500, EventKind::Restart, machine(1)),
        event(5_000, EventKind::Stop, machine(2)),
        event(6_500, EventKind::CrashBackEnd, machine(3)),
    ]
}
