//! `plantaingauge status`: prints what a daemon knows of its cell, as text or JSON.

use daemon::status::Status;

use crate::admin;
use crate::cli::StatusOptions;
use crate::exit::Exit;

/// Owner ranges that the text output shows at most; `--json` has all.
const MAX_SHOWN_RANGES: usize = 40;

pub(crate) async fn run(options: &StatusOptions) -> Exit {
    let status = match admin::status(options.admin).await {
        Ok(status) => status,
        Err(error) => {
            eprintln!("plantaingauge: {error}");
            return Exit::Failed;
        }
    };
    if options.json {
        match serde_json::to_string_pretty(&status) {
            Ok(text) => println!("{text}"),
            Err(error) => {
                eprintln!("plantaingauge: {error}");
                return Exit::Failed;
            }
        }
    } else {
        print_text(&status);
    }
    Exit::Done
}

fn print_text(status: &Status) {
    let coordinator = status.coordinator.as_deref().unwrap_or("unknown");
    println!(
        "cell {} term {} coordinator {coordinator}",
        status.cell, status.term
    );
    println!(
        "daemon {} incarnation {} lease {} ms, holds {} shards, {} closing",
        status.name, status.incarnation, status.lease_ms, status.held, status.closing
    );
    println!(
        "lists version {}, routes version {}",
        status.lists_version, status.route_version
    );
    if let Some(c) = &status.coordination {
        println!(
            "coordinating: authority {} ms, {} members, {} shards unowned, {} on their way, \
             {} grants, {} moves",
            c.authority_ms, c.members, c.unowned, c.releasing, c.grants, c.moves
        );
    }
    println!(
        "\n{:<24} {:<12} {:<12} {:<16} {:>7}",
        "machine", "region", "zone", "service", "shards"
    );
    for m in &status.machines {
        let service = m.service.as_deref().unwrap_or("-");
        let note = if m.draining { "  draining" } else { "" };
        println!(
            "{:<24} {:<12} {:<12} {service:<16} {:>7}{note}",
            m.name, m.region, m.zone, m.shards
        );
    }
    println!("\n{:<16} {:>11}  owner", "service", "shards");
    for owner in status.owners.iter().take(MAX_SHOWN_RANGES) {
        let range = format!("{}-{}", owner.first, owner.last);
        println!("{:<16} {range:>11}  {}", owner.service, owner.machine);
    }
    let hidden = status.owners.len().saturating_sub(MAX_SHOWN_RANGES);
    if hidden > 0 {
        println!("and {hidden} more ranges; --json prints all");
    }
}
