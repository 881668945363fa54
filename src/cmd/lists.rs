//! `plantaingauge lists`.

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
            eprintln!("version 0: there are no lists yet");
            Exit::Done
        }
        Err(error) => fail(&error.to_string()),
    }
}

fn fail(message: &str) -> Exit {
    eprintln!("plantaingauge: {message}");
    Exit::Failed
}

/// Reads and checks a document; prints every fault.
fn read(file: &Path) -> Result<String, Exit> {
    let text = std::fs::read_to_string(file)
        .map_err(|error| fail(&format!("{}: {error}", file.display())))?;
    match lists::document::parse(&text) {
        Ok(_) => Ok(text),
        Err(faults) => {
            for fault in &faults.0 {
                eprintln!("{}: {fault}", file.display());
            }
            Err(Exit::Refused)
        }
    }
}

fn check(file: &Path) -> Exit {
    match read(file) {
        Ok(text) => {
            println!("{} is valid, {} bytes", file.display(), text.len());
            Exit::Done
        }
        Err(exit) => exit,
    }
}

async fn put(platform: SocketAddr, version: u64, daemons: &[SocketAddr], file: &Path) -> Exit {
    let text = match read(file) {
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
            tell(daemons, version, &text).await;
            Exit::Done
        }
        Ok(PutOutcome::Conflict(current)) => {
            eprintln!(
                "plantaingauge: the lists are at version {current}, not {version}; nothing was \
                 changed. Read them again with `lists get` and repeat the edit."
            );
            Exit::Conflict
        }
        Err(StoreError::NoResponse { reason, .. }) => settle(&store, version, &text, &reason).await,
        Err(error) => fail(&error.to_string()),
    }
}

/// Tells daemons of accepted lists, which reach them from the store too.
async fn tell(daemons: &[SocketAddr], version: u64, text: &str) {
    let lists = AcceptedLists {
        version,
        text: text.to_owned(),
    };
    for address in daemons {
        if let Err(error) = admin::tell_lists(*address, &lists).await {
            eprintln!("plantaingauge: {error}; it learns of the edit from its coordinator");
        }
    }
}

/// Finds out what became of an update whose answer was lost.
async fn settle(store: &HttpStore, version: u64, text: &str, reason: &str) -> Exit {
    match store.get(LISTS_OBJECT).await {
        Ok(Some(found)) if found.version == version + 1 && found.value == text.as_bytes() => {
            println!("accepted as version {}", found.version);
            Exit::Done
        }
        Ok(found) if found.as_ref().map_or(0, |f| f.version) == version => {
            eprintln!("plantaingauge: no answer from the store ({reason}).");
            eprintln!("The lists are still at version {version}; the edit may yet take effect.");
            eprintln!("Running the same command again is harmless.");
            Exit::Unknown
        }
        Ok(found) => {
            let current = found.map_or(0, |f| f.version);
            eprintln!("plantaingauge: the lists are at version {current} with other content;");
            eprintln!("the edit was overtaken or not made. Read them with `lists get`.");
            Exit::Conflict
        }
        Err(_) => {
            eprintln!("plantaingauge: no answer from the store ({reason}).");
            eprintln!(
                "Run `lists get` later to see whether version {} is yours.",
                version + 1
            );
            Exit::Unknown
        }
    }
}
