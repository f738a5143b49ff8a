//! Commands that read or change the catalogue.

use std::{net::SocketAddr, path::Path, process::ExitCode, time::Duration};

use jacinthhoist_codec::{
    CatalogueFile, CatalogueView, ChangeRequest, ChangeResponse, ChangeVerdict, InForceView,
};
use jacinthhoist_core::{CatalogueChange, CatalogueEdit, CatalogueState, Offset};
use snafu::ResultExt;
use tokio::time::{Instant, interval};

use crate::{
    client,
    error::{InvalidCatalogueSnafu, InvalidFileSnafu, ReadFileSnafu, Result},
    options::{CatalogueCommand, OperatorOptions},
    show, table,
};

/// Exit code if the change was refused.
const EXIT_REFUSED: u8 = 1;
/// Exit code if it is unknown whether the change was accepted.
const EXIT_UNKNOWN: u8 = 4;
/// Exit code if the change was accepted but was not in force on every live member in time.
const EXIT_NOT_IN_FORCE: u8 = 5;
/// Interval at which a change's replication status is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Runs a catalogue command.
pub(crate) async fn run(options: &OperatorOptions, command: &CatalogueCommand) -> Result<ExitCode> {
    match command {
        CatalogueCommand::Check { file } => check(options, file),
        CatalogueCommand::Show => {
            let view: CatalogueView = client::get(options.admin, "/v1/catalogue").await?;
            let text =
                CatalogueFile::render(&view).context(InvalidFileSnafu { path: "catalogue" })?;
            show(options, &view, |_| text.clone())
        }
        CatalogueCommand::Diff { file } => {
            let edits = edits(options.admin, file).await?;
            show(options, &edits, |edits| table::edits(edits))
        }
        CatalogueCommand::Apply {
            operator,
            wait,
            file,
        } => apply(options, operator, *wait, file).await,
    }
}

fn read_file(file: &Path) -> Result<CatalogueFile> {
    let path = file.display().to_string();
    let text = std::fs::read_to_string(file).context(ReadFileSnafu {
        path: path.as_str(),
    })?;
    Ok(CatalogueFile::parse(&text).context(InvalidFileSnafu { path })?)
}

fn check(options: &OperatorOptions, file: &Path) -> Result<ExitCode> {
    let parsed = read_file(file)?;
    let path = file.display().to_string();
    let empty = CatalogueView {
        revision: None,
        entries: Vec::new(),
    };
    let unmarked = CatalogueFile {
        entries: parsed.entries.into_iter().map(without_mark).collect(),
    };
    let edits = unmarked.edits(&empty);
    let change = CatalogueChange {
        operator: String::new(),
        edits: edits.clone(),
    };
    CatalogueState::default()
        .with_change(Offset(0), &change)
        .context(InvalidCatalogueSnafu {
            path: path.as_str(),
        })?;
    let count = edits.len();
    show(options, &edits, |_| {
        format!("{path}: {count} entries are valid\n")
    })
}

/// Returns the entry without its mark, so that it is checked like a new entry.
fn without_mark(mut entry: jacinthhoist_codec::FileEntry) -> jacinthhoist_codec::FileEntry {
    entry.seen_revision = None;
    entry.unmodified = false;
    entry
}

async fn edits(admin: SocketAddr, file: &Path) -> Result<Vec<CatalogueEdit>> {
    let parsed = read_file(file)?;
    let view: CatalogueView = client::get(admin, "/v1/catalogue").await?;
    Ok(parsed.edits(&view))
}

async fn apply(
    options: &OperatorOptions,
    operator: &str,
    wait: Option<u64>,
    file: &Path,
) -> Result<ExitCode> {
    let edits = edits(options.admin, file).await?;
    if edits.is_empty() {
        let response = ChangeResponse {
            verdict: ChangeVerdict::Accepted,
            offset: None,
            message: None,
        };
        return show(options, &response, |_| "no changes\n".to_owned());
    }
    let request = ChangeRequest {
        operator: operator.to_owned(),
        edits,
    };
    let body = serde_json::json!(request).to_string();
    let response: ChangeResponse = client::post(options.admin, "/v1/catalogue", body).await?;
    show(options, &response, table::change_response)?;
    match (response.verdict, response.offset, wait) {
        (ChangeVerdict::Refused, _, _) => Ok(ExitCode::from(EXIT_REFUSED)),
        (ChangeVerdict::Unknown, _, _) => Ok(ExitCode::from(EXIT_UNKNOWN)),
        (ChangeVerdict::Accepted, Some(offset), Some(secs)) => {
            wait_in_force(options, offset, secs).await
        }
        (ChangeVerdict::Accepted, _, _) => Ok(ExitCode::SUCCESS),
    }
}

async fn wait_in_force(options: &OperatorOptions, offset: Offset, secs: u64) -> Result<ExitCode> {
    let deadline = Instant::now() + Duration::from_secs(secs);
    let mut polls = interval(POLL_INTERVAL);
    loop {
        polls.tick().await;
        let path = format!("/v1/in-force?offset={offset}");
        let view: InForceView = client::get(options.admin, &path).await?;
        if view.everywhere || Instant::now() >= deadline {
            show(options, &view, table::in_force)?;
            let code = if view.everywhere {
                0
            } else {
                EXIT_NOT_IN_FORCE
            };
            return Ok(ExitCode::from(code));
        }
    }
}
