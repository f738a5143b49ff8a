//! `jacinthhoist`: command-line client for operators.
//!
//! Exit codes: 0 for success, 1 if a change was refused, 2 if a file cannot be read or is invalid,
//! 3 if no usable response was received from a member or the runtime cannot start, 4 if it is
//! unknown whether a change was accepted, and 5 if an accepted change was not in force on every
//! live member in time.

mod catalogue;
mod client;
mod error;
mod options;
mod table;

use std::process::ExitCode;

use error::{Error, Result};
use jacinthhoist_codec::{MemberView, PoolView, VmView};
use options::{Command, OperatorOptions, operator_options};

fn main() -> ExitCode {
    let options = operator_options().run();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let result = match runtime {
        Ok(runtime) => runtime.block_on(run(&options)),
        Err(source) => Err(error::ErrorKind::Runtime { source }.into()),
    };
    match result {
        Ok(code) => code,
        Err(error) => {
            eprintln!("jacinthhoist: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}

async fn run(options: &OperatorOptions) -> Result<ExitCode> {
    let admin = options.admin;
    match &options.command {
        Command::Catalogue(command) => catalogue::run(options, command).await,
        Command::Status => show(
            options,
            &client::get(admin, "/v1/status").await?,
            table::status,
        ),
        Command::Pools => {
            let views: Vec<PoolView> = client::get(admin, "/v1/pools").await?;
            show(options, &views, |views| table::pools(views))
        }
        Command::Vms => {
            let views: Vec<VmView> = client::get(admin, "/v1/vms").await?;
            show(options, &views, |views| table::vms(views))
        }
        Command::Members => {
            let views: Vec<MemberView> = client::get(admin, "/v1/members").await?;
            show(options, &views, |views| table::members(views))
        }
    }
}

/// Prints a view as a table, or as JSON if `--json` is given.
fn show<T: serde::Serialize>(
    options: &OperatorOptions,
    view: &T,
    table: impl Fn(&T) -> String,
) -> Result<ExitCode, Error> {
    match options.json {
        true => println!("{}", serde_json::json!(view)),
        false => print!("{}", table(view)),
    }
    Ok(ExitCode::SUCCESS)
}
