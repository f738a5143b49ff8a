//! Text tables of the views.

use std::fmt::Write;

use jacinthhoist_codec::{
    ChangeResponse, ChangeVerdict, InForceView, MemberView, PoolView, StatusView, VmView,
};
use jacinthhoist_core::CatalogueEdit;

/// Separator between columns.
const COLUMN_GAP: &str = "  ";

/// Formats rows as aligned columns with headings.
fn columns<const N: usize>(
    headings: [&str; N],
    rows: impl IntoIterator<Item = [String; N]>,
) -> String {
    let mut lines = vec![headings.map(str::to_owned)];
    lines.extend(rows);
    let width = |column: usize| {
        lines
            .iter()
            .map(|line| line[column].len())
            .max()
            .unwrap_or(0)
    };
    let widths: Vec<usize> = (0..N).map(width).collect();
    let mut text = String::new();
    for line in &lines {
        let cells = line
            .iter()
            .zip(&widths)
            .map(|(cell, width)| format!("{cell:width$}"));
        let joined = cells.collect::<Vec<_>>().join(COLUMN_GAP);
        text.push_str(joined.trim_end());
        text.push('\n');
    }
    text
}

fn or_dash<T: ToString>(value: Option<T>) -> String {
    value.map_or("-".to_owned(), |value| value.to_string())
}

/// Formats the state of a member and of the maintenance waves.
pub(crate) fn status(view: &StatusView) -> String {
    let ready = match &view.waits_for {
        None => "yes".to_owned(),
        Some(condition) => format!("no, waits for {condition}"),
    };
    let mut text = String::new();
    // Writing to a `String` cannot fail.
    let _ = writeln!(text, "member     {} ({:x})", view.member, view.nonce);
    let _ = writeln!(text, "ready      {ready}");
    let _ = writeln!(text, "folded     {}", or_dash(view.folded));
    let _ = writeln!(text, "catalogue  {}", or_dash(view.catalogue));
    let _ = writeln!(text, "log age    {} ms", or_dash(view.log_age_ms));
    let _ = writeln!(text, "members    {}", view.members);
    let _ = writeln!(text, "claims     {}", view.claims);
    if view.waves.is_empty() {
        return text;
    }
    let rows = view.waves.iter().map(|wave| {
        let progress = &wave.progress;
        [
            wave.wave.to_string(),
            format!("{:?}", wave.state).to_lowercase(),
            progress.done.to_string(),
            progress.out.to_string(),
            progress.left.to_string(),
            or_dash(progress.waits_for.as_ref()),
        ]
    });
    text + "\n" + &columns(["WAVE", "STATE", "DONE", "OUT", "LEFT", "WAITS FOR"], rows)
}

/// Formats the pools.
pub(crate) fn pools(views: &[PoolView]) -> String {
    let rows = views.iter().map(|view| {
        let name = if view.spare {
            format!("{} (spare)", view.pool)
        } else {
            view.pool.to_string()
        };
        [
            name,
            view.count.vms.to_string(),
            view.count.available.to_string(),
            view.min_available.to_string(),
            view.max_unavailable.to_string(),
            view.count.maintenance.to_string(),
            view.count.arriving.to_string(),
            view.running.to_string(),
            view.waiting.to_string(),
        ]
    });
    let headings = [
        "POOL",
        "VMS",
        "AVAILABLE",
        "MIN",
        "MAX OUT",
        "MAINTENANCE",
        "ARRIVING",
        "RUNNING",
        "WAITING",
    ];
    columns(headings, rows)
}

/// Formats the VMs.
pub(crate) fn vms(views: &[VmView]) -> String {
    let rows = views.iter().map(|view| {
        [
            view.vm.to_string(),
            view.pool.to_string(),
            view.phase.clone(),
            format!("{:?}", view.sight).to_lowercase(),
            view.data_centre.to_string(),
            view.rack.to_string(),
            view.boot.to_string(),
            view.address.clone(),
        ]
    });
    columns(
        [
            "VM",
            "POOL",
            "PHASE",
            "LISTED",
            "DATA CENTRE",
            "RACK",
            "BOOT",
            "ADDRESS",
        ],
        rows,
    )
}

/// Formats the entry members.
pub(crate) fn members(views: &[MemberView]) -> String {
    let rows = views.iter().map(|view| {
        [
            view.member.to_string(),
            format!("{:x}", view.nonce),
            view.data_centre.to_string(),
            view.peer_address.clone(),
            if view.heard { "yes" } else { "no" }.to_owned(),
            or_dash(view.folded),
        ]
    });
    columns(
        [
            "MEMBER",
            "INCARNATION",
            "DATA CENTRE",
            "PEER ADDRESS",
            "HEARD",
            "FOLDED",
        ],
        rows,
    )
}

/// Formats the edits that applying a file would make.
pub(crate) fn edits(edits: &[CatalogueEdit]) -> String {
    if edits.is_empty() {
        return "no changes\n".to_owned();
    }
    let rows = edits.iter().map(|edit| {
        let action = match (&edit.body, edit.based_on) {
            (None, _) => "remove",
            (Some(_), None) => "add",
            (Some(_), Some(_)) => "change",
        };
        [
            action.to_owned(),
            edit.entry.to_string(),
            or_dash(edit.based_on),
        ]
    });
    columns(["EDIT", "ENTRY", "SEEN AT"], rows)
}

/// Formats the response to a change request.
pub(crate) fn change_response(response: &ChangeResponse) -> String {
    let message = response.message.as_deref().unwrap_or_default();
    match response.verdict {
        ChangeVerdict::Accepted => format!("accepted at {}\n", or_dash(response.offset)),
        ChangeVerdict::Refused => format!("refused: {message}\n"),
        ChangeVerdict::Unknown => format!("unknown: {message}\n"),
    }
}

/// Formats the replication status of a change.
pub(crate) fn in_force(view: &InForceView) -> String {
    if view.everywhere {
        return format!("{} is in force on every live member\n", view.offset);
    }
    let behind: Vec<String> = view.behind.iter().map(ToString::to_string).collect();
    format!(
        "{} is not yet in force on {}\n",
        view.offset,
        behind.join(", ")
    )
}
