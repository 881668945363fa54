//! `bench trace`: generates a user's trace and writes it to standard output.

use bench::trace::{EventKind, EventLine, Expect, Line, RequestLine};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::cli::TraceOptions;
use crate::cmd::Error;

/// Number of regular requests: lookups, orders and repeated orders.
const REGULAR_REQUESTS: u64 = 400;

/// Time over which regular requests are spread, in milliseconds.
const SPAN_MS: u64 = 8_000;

/// Number of requests of customer `flood`, whose plan has a small allowance.
const FLOOD_REQUESTS: u64 = 60;

/// Names that differ between the users.
struct Names {
    zones: [&'static str; 4],
    /// Prefix of the customers of regular requests.
    customer: &'static str,
    /// Customer whose plan lacks the keyed service.
    restricted: &'static str,
    keyed_service: &'static str,
    keyed_lookup: &'static str,
    order: &'static str,
    /// Services without keys, each with a lookup.
    unkeyed_lookups: [(&'static str, &'static str); 2],
}

const KIOSK: Names = Names {
    zones: ["nord-a", "nord-b", "sud-a", "sud-b"],
    customer: "vendor",
    restricted: "distributor",
    keyed_service: "credits",
    keyed_lookup: "balance",
    order: "post",
    unkeyed_lookups: [("listings", "bundles"), ("statements", "past")],
};

const COURT: Names = Names {
    zones: ["polnoc-a", "polnoc-b", "poludnie-a", "poludnie-b"],
    customer: "member",
    restricted: "student",
    keyed_service: "extracts",
    keyed_lookup: "state",
    order: "order",
    unkeyed_lookups: [("searches", "judgments"), ("records", "full")],
};

/// Writes the trace of the user to standard output.
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
    let mut lines: Vec<Line> = (0..REGULAR_REQUESTS)
        .map(|number| Line::Request(regular_request(names, number, &mut random)))
        .collect();
    lines.extend((0..FLOOD_REQUESTS).map(|number| Line::Request(flood_request(names, number))));
    lines.extend(rejected_requests(names).into_iter().map(Line::Request));
    lines.extend(events(names).into_iter().map(Line::Event));
    lines.sort_by_key(Line::at_ms);
    lines
}

/// Returns a lookup of the keyed service that has to be answered; the key is left to be set.
fn default_request(names: &Names, id: String, at_ms: u64) -> RequestLine {
    RequestLine {
        at_ms,
        id,
        zone: names.zones[0].to_owned(),
        customer: Some(format!("{}-1", names.customer)),
        service: names.keyed_service.to_owned(),
        operation: names.keyed_lookup.to_owned(),
        key: None,
        body: None,
        ticket: None,
        copies: 0,
        timeout_ms: 5_000,
        expect: Expect::Answered,
    }
}

/// Returns a random lookup, order or repeated order. An order may run into a failure, so its
/// outcome may be unknown.
fn regular_request(names: &Names, number: u64, random: &mut StdRng) -> RequestLine {
    let at_ms = random.random_range(0..SPAN_MS);
    let mut line = default_request(names, format!("r{number}"), at_ms);
    line.zone = names.zones[random.random_range(0..4)].to_owned();
    line.customer = Some(format!("{}-{}", names.customer, random.random_range(0..40)));
    let kind = random.random_range(0..10);
    if kind < 3 {
        let (service, operation) = names.unkeyed_lookups[random.random_range(0..2)];
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

fn flood_request(names: &Names, number: u64) -> RequestLine {
    let mut line = default_request(names, format!("f{number}"), 500 + number * 10);
    let (service, operation) = names.unkeyed_lookups[0];
    line.service = service.to_owned();
    line.operation = operation.to_owned();
    line.customer = Some("flood".to_owned());
    line.timeout_ms = 0;
    line.expect = Expect::Limited;
    line
}

/// Returns requests that have to be rejected, each with another error code.
fn rejected_requests(names: &Names) -> Vec<RequestLine> {
    let rejected = |number: u64, code: &str, change: &dyn Fn(&mut RequestLine)| {
        let mut line = default_request(names, format!("x{number}"), 200 + number * 20);
        line.key = Some("key-1".to_owned());
        line.timeout_ms = 0;
        line.expect = Expect::Refused(code.to_owned());
        change(&mut line);
        line
    };
    let order = |line: &mut RequestLine| {
        line.operation = names.order.to_owned();
        line.body = Some("amount=1".to_owned());
    };
    vec![
        rejected(0, "missing-customer", &|l| l.customer = None),
        rejected(1, "unknown-customer", &|l| {
            l.customer = Some("nobody".to_owned())
        }),
        rejected(2, "not-in-plan", &|l| {
            l.customer = Some(names.restricted.to_owned())
        }),
        rejected(3, "unknown-service", &|l| l.service = "absent".to_owned()),
        rejected(4, "unknown-operation", &|l| {
            l.operation = "absent".to_owned()
        }),
        rejected(5, "missing-key", &|l| l.key = None),
        rejected(6, "bad-request", &|l| {
            l.customer = Some("no body".to_owned())
        }),
        rejected(7, "ticket-malformed", &|l| {
            order(l);
            l.ticket = Some("nonsense".to_owned());
        }),
        rejected(8, "ticket-forged", &|l| {
            order(l);
            // The length and version are right, the signature is wrong.
            l.ticket = Some(format!("AQ{}", "A".repeat(90 - 2)));
        }),
    ]
}

/// Returns the failures: an owner lost and replaced, lost responses of the platform, a planned stop
/// and a crashed back end.
fn events(names: &Names) -> Vec<EventLine> {
    let machine = |zone: usize| format!("{}-{}", names.zones[zone], names.keyed_service);
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
