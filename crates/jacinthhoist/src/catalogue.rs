//! The catalogue commands.

use std::{net::SocketAddr, path::Path, process::ExitCode, time::Duration};

use jacinthhoist_codec::{
    CatalogueFile, CatalogueView, ChangeRequest, ChangeResponse, ChangeVerdict, InForceView,
};
use jacinthhoist_core::{CatalogueChange, CatalogueEdit, CatalogueState, Offset};
use snafu::ResultExt;
use tokio::time::{Instant, interval};

use crate::{
    client,
    error::{CatalogueSnafu, FileSnafu, ReadSnafu, Result},
    options::{CatalogueCommand, OperatorOptions},
    show, table,
};

/// The change was refused.
const EXIT_REFUSED: u8 = 1;
/// The change's fate is unknown.
const EXIT_UNKNOWN: u8 = 4;
/// The change was accepted and not in force everywhere in time.
const EXIT_NOT_IN_FORCE: u8 = 5;
/// How often it asks whether a change is in force.
const ASK_AGAIN: Duration = Duration::from_millis(100);

/// Runs a catalogue command.
pub(crate) async fn run(options: &OperatorOptions, command: &CatalogueCommand) -> Result<ExitCode> {
    match command {
        CatalogueCommand::Check { file } => check(options, file),
        CatalogueCommand::Show => {
            let view: CatalogueView = client::get(options.admin, "/v1/catalogue").await?;
            let text = CatalogueFile::render(&view).context(FileSnafu { path: "catalogue" })?;
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

fn read(file: &Path) -> Result<CatalogueFile> {
    let path = file.display().to_string();
    let text = std::fs::read_to_string(file).context(ReadSnafu {
        path: path.as_str(),
    })?;
    Ok(CatalogueFile::parse(&text).context(FileSnafu { path })?)
}

fn check(options: &OperatorOptions, file: &Path) -> Result<ExitCode> {
    let parsed = read(file)?;
    let path = file.display().to_string();
    let empty = CatalogueView {
        revision: None,
        entries: Vec::new(),
    };
    let whole = CatalogueFile {
        entries: parsed.entries.into_iter().map(as_new).collect(),
    };
    let edits = whole.edits(&empty);
    let change = CatalogueChange {
        operator: String::new(),
        edits: edits.clone(),
    };
    CatalogueState::default()
        .with_change(Offset(0), &change)
        .context(CatalogueSnafu {
            path: path.as_str(),
        })?;
    let count = edits.len();
    show(options, &edits, |_| {
        format!("{path}: {count} entries can be used\n")
    })
}

/// An entry as it stands in the file, whatever the operator saw before.
fn as_new(mut entry: jacinthhoist_codec::FileEntry) -> jacinthhoist_codec::FileEntry {
    entry.seen_revision = None;
    entry.unmodified = false;
    entry
}

async fn edits(admin: SocketAddr, file: &Path) -> Result<Vec<CatalogueEdit>> {
    let parsed = read(file)?;
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
        let answer = ChangeResponse {
            verdict: ChangeVerdict::Accepted,
            offset: None,
            message: None,
        };
        return show(options, &answer, |_| "nothing to change\n".to_owned());
    }
    let request = ChangeRequest {
        operator: operator.to_owned(),
        edits,
    };
    let body = serde_json::json!(request).to_string();
    let answer: ChangeResponse = client::post(options.admin, "/v1/catalogue", body).await?;
    show(options, &answer, table::answer)?;
    match (answer.verdict, answer.offset, wait) {
        (ChangeVerdict::Refused, _, _) => Ok(ExitCode::from(EXIT_REFUSED)),
        (ChangeVerdict::Unknown, _, _) => Ok(ExitCode::from(EXIT_UNKNOWN)),
        (ChangeVerdict::Accepted, Some(offset), Some(secs)) => {
            wait_in_force(options, offset, secs).await
        }
        (ChangeVerdict::Accepted, _, _) => Ok(ExitCode::SUCCESS),
    }
}

async fn wait_in_force(options: &OperatorOptions, offset: Offset, secs: u64) -> Result<ExitCode> {
    let until = Instant::now() + Duration::from_secs(secs);
    let mut asks = interval(ASK_AGAIN);
    loop {
        asks.tick().await;
        let path = format!("/v1/in-force?offset={offset}");
        let view: InForceView = client::get(options.admin, &path).await?;
        if view.everywhere || Instant::now() >= until {
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
