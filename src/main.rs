//! `plantaingauge`: command-line tool for operators, which shows the status of a cell and edits
//! the lists.

mod admin;
mod cli;
mod cmd;
mod exit;

use std::process::ExitCode;

use crate::cli::Command;
use crate::exit::Exit;

fn main() -> ExitCode {
    let command = cli::command().run();
    let runtime = match tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("plantaingauge: {error}");
            return Exit::Failed.into();
        }
    };
    let exit = runtime.block_on(async {
        match command {
            Command::Status(options) => cmd::status::run(&options).await,
            Command::Lists(command) => cmd::lists::run(&command).await,
        }
    });
    exit.into()
}
