//! `plantaingauge lists`: reads, validates and replaces the lists in the object store.

use std::net::SocketAddr;
use std::path::Path;

use bytes::Bytes;
use daemon::admin_api::AcceptedLists;
use lists::LISTS_OBJECT;
use store::client::{PutOutcome, Store, StoreError};
use store::http_client::HttpStore;

use crate::admin;
use crate::cli::ListsCommand;
use crate::exit::Exit;

pub(crate) async fn run(command: &ListsCommand) -> Exit {
    match command {
        ListsCommand::Get { platform } => get(*platform).await,
        ListsCommand::Check { file } => check(file),
        ListsCommand::Put {
            platform,
            version,
            admin,
            file,
        } => put(*platform, *version, admin, file).await,
    }
}

async fn get(platform: SocketAddr) -> Exit {
    match HttpStore::new(platform).get(LISTS_OBJECT).await {
        Ok(Some(object)) => {
            eprintln!("version {}", object.version);
            print!("{}", String::from_utf8_lossy(&object.value));
            Exit::Done
        }
        Ok(None) => {
            eprintln!("version 0: no lists have been stored yet");
            Exit::Done
        }
        Err(error) => fail(&error.to_string()),
    }
}

fn fail(message: &str) -> Exit {
    eprintln!("plantaingauge: {message}");
    Exit::Failed
}

/// Reads and validates a document. Errors are printed: on I/O failure the exit is `Failed`, for an
/// invalid document `Refused`.
fn read_document(file: &Path) -> Result<String, Exit> {
    let text = std::fs::read_to_string(file)
        .map_err(|error| fail(&format!("{}: {error}", file.display())))?;
    match lists::document::parse(&text) {
        Ok(_) => Ok(text),
        Err(diagnostics) => {
            for diagnostic in &diagnostics.0 {
                eprintln!("{}: {diagnostic}", file.display());
            }
            Err(Exit::Refused)
        }
    }
}

fn check(file: &Path) -> Exit {
    match read_document(file) {
        Ok(text) => {
            println!("{} is valid, {} bytes", file.display(), text.len());
            Exit::Done
        }
        Err(exit) => exit,
    }
}

async fn put(platform: SocketAddr, version: u64, daemons: &[SocketAddr], file: &Path) -> Exit {
    let text = match read_document(file) {
        Ok(text) => text,
        Err(exit) => return exit,
    };
    let store = HttpStore::new(platform);
    match store
        .put(LISTS_OBJECT, version, Bytes::from(text.clone()))
        .await
    {
        Ok(PutOutcome::Written(version)) => {
            println!("accepted as version {version}");
            notify_daemons(daemons, version, &text).await;
            Exit::Done
        }
        Ok(PutOutcome::Conflict(current)) => {
            eprintln!(
                "plantaingauge: the lists are at version {current}, not {version}; nothing was \
                 changed. Read them again with `lists get` and repeat the edit."
            );
            Exit::Conflict
        }
        Err(StoreError::NoResponse { reason, .. }) => {
            resolve_unanswered_put(&store, version, &text, &reason).await
        }
        Err(error) => fail(&error.to_string()),
    }
}

/// Sends accepted lists to daemons, which put them in force at once and relay them, also if the
/// store has failed since. Failures are only printed, as the coordinator reads the lists from the
/// store too.
async fn notify_daemons(daemons: &[SocketAddr], version: u64, text: &str) {
    let lists = AcceptedLists {
        version,
        text: text.to_owned(),
    };
    for address in daemons {
        if let Err(error) = admin::put_lists(*address, &lists).await {
            eprintln!("plantaingauge: {error}; it will receive the lists from its coordinator");
        }
    }
}

/// Reads the lists back after an update without a response, to find out whether it took effect.
async fn resolve_unanswered_put(store: &HttpStore, version: u64, text: &str, reason: &str) -> Exit {
    match store.get(LISTS_OBJECT).await {
        Ok(Some(found)) if found.version == version + 1 && found.value == text.as_bytes() => {
            println!("accepted as version {}", found.version);
            Exit::Done
        }
        Ok(found) if found.as_ref().map_or(0, |f| f.version) == version => {
            eprintln!("plantaingauge: no response from the store ({reason}).");
            eprintln!("The lists are still at version {version}; the edit may still take effect.");
            eprintln!("Running the same command again is harmless.");
            Exit::Unknown
        }
        Ok(found) => {
            let current = found.map_or(0, |f| f.version);
            eprintln!("plantaingauge: the lists are at version {current} with other content;");
            eprintln!(
                "the edit was overwritten or did not take effect. Read them with `lists get`."
            );
            Exit::Conflict
        }
        Err(_) => {
            eprintln!("plantaingauge: no response from the store ({reason}).");
            eprintln!(
                "Run `lists get` later to see whether version {} is this edit.",
                version + 1
            );
            Exit::Unknown
        }
    }
}
