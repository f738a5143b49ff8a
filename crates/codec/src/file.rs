//! The operators' catalogue file, in TOML.

use jacinthhoist_core::{CatalogueEdit, EntryBody, EntryId, EntryKind, Offset};
use serde::de::DeserializeOwned;
use snafu::ResultExt;
use toml::{Table, Value};

use crate::{
    admin::CatalogueView,
    digest::digest,
    error::{EntryFieldSnafu, Error, Result, SeenSnafu, TomlSnafu, UnknownTableSnafu},
};

/// The key under which `catalogue show` marks what the operator saw.
const SEEN_KEY: &str = "seen";
/// The table that names entries to remove.
const REMOVE_KEY: &str = "remove";

/// One entry of a file.
#[derive(Clone, Debug, PartialEq)]
pub struct FileEntry {
    /// Its identity.
    pub entry: EntryId,
    /// What it says; none where it shall be removed.
    pub body: Option<EntryBody>,
    /// The revision that the operator saw, where the file says so.
    pub seen: Option<Offset>,
    /// Whether it still says what the operator saw.
    pub untouched: bool,
}

/// A catalogue file: entries that are put, and those that are removed.
///
/// Entries that the file does not name stay as they are.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CatalogueFile {
    /// The entries in the file's order of kinds.
    pub entries: Vec<FileEntry>,
}

impl CatalogueFile {
    /// Reads a file's text.
    ///
    /// # Errors
    ///
    /// Names the entry and the field that cannot be used.
    pub fn parse(text: &str) -> Result<Self> {
        let table: Table = toml::from_str(text).map_err(Box::new).context(TomlSnafu)?;
        let mut entries = Vec::new();
        for (key, value) in table {
            if key == REMOVE_KEY {
                entries.extend(parse_removals(&value)?);
                continue;
            }
            let kind: EntryKind = key
                .parse()
                .map_err(|()| UnknownTableSnafu { table: key.clone() }.build())?;
            match kind {
                EntryKind::Policy => entries.push(parse_entry(kind, "policy", value)?),
                _ => entries.extend(parse_kind(kind, value)?),
            }
        }
        Ok(Self { entries })
    }

    /// The edits that lead from the catalogue as read now to what the file wants.
    ///
    /// An entry that still says what the operator saw is left alone, so that two operators with
    /// whole files conflict only where both edited.
    ///
    /// ```
    /// use jacinthhoist_codec::{CatalogueFile, CatalogueView};
    /// let file = CatalogueFile::parse("[owners.a]\nweight = 2").unwrap();
    /// let empty = CatalogueView { revision: None, entries: vec![] };
    /// assert_eq!(file.edits(&empty).len(), 1);
    /// ```
    pub fn edits(&self, current: &CatalogueView) -> Vec<CatalogueEdit> {
        let mut edits = Vec::new();
        for wanted in self.entries.iter().filter(|wanted| !wanted.untouched) {
            let known = current
                .entries
                .iter()
                .find(|known| known.entry == wanted.entry);
            let body = known.and_then(|known| known.body.as_ref());
            if body == wanted.body.as_ref() {
                continue;
            }
            let based_on = wanted.seen.or(known.map(|known| known.revision));
            let entry = wanted.entry.clone();
            edits.push(CatalogueEdit {
                entry,
                based_on,
                body: wanted.body.clone(),
            });
        }
        edits
    }

    /// A file that says what the catalogue says, each entry marked with what was seen.
    ///
    /// # Errors
    ///
    /// None for entries that the core can make.
    pub fn render(current: &CatalogueView) -> Result<String> {
        let mut root = Table::new();
        for view in &current.entries {
            let Some(body) = &view.body else {
                continue;
            };
            let mut table = body_table(body)?;
            let mark = format!("{}-{:016x}", view.revision, body_digest(body));
            table.insert(SEEN_KEY.to_owned(), Value::String(mark));
            if view.entry.kind == EntryKind::Policy {
                root.insert(view.entry.kind.as_str().to_owned(), Value::Table(table));
                continue;
            }
            let kind = root
                .entry(view.entry.kind.as_str())
                .or_insert_with(|| Value::Table(Table::new()));
            if let Value::Table(kind) = kind {
                kind.insert(view.entry.name.to_string(), Value::Table(table));
            }
        }
        toml::to_string_pretty(&root).map_err(|error| field_error("catalogue", &error))
    }
}

fn field_error(entry: &str, error: &dyn std::fmt::Display) -> Error {
    let message = error.to_string().trim().replace('\n', " ");
    EntryFieldSnafu { entry, message }.build().into()
}

fn parse_removals(value: &Value) -> Result<Vec<FileEntry>> {
    let list = value
        .as_array()
        .ok_or_else(|| field_error(REMOVE_KEY, &"it must be a list such as [\"works.old\"]"))?;
    list.iter().map(parse_removal).collect()
}

fn parse_removal(value: &Value) -> Result<FileEntry> {
    let text = value.as_str().unwrap_or_default();
    let entry = text
        .split_once('.')
        .and_then(|(kind, name)| Some(EntryId::new(kind.parse().ok()?, name)))
        .ok_or_else(|| {
            field_error(
                REMOVE_KEY,
                &format!("`{text}` is not of the form works.NAME"),
            )
        })?;
    Ok(FileEntry {
        entry,
        body: None,
        seen: None,
        untouched: false,
    })
}

fn parse_kind(kind: EntryKind, value: Value) -> Result<Vec<FileEntry>> {
    let Value::Table(table) = value else {
        return Err(field_error(kind.as_str(), &"it must be a table of entries"));
    };
    table
        .into_iter()
        .map(|(name, value)| parse_entry(kind, &name, value))
        .collect()
}

fn parse_entry(kind: EntryKind, name: &str, mut value: Value) -> Result<FileEntry> {
    let entry = EntryId::new(kind, name);
    let mark = value
        .as_table_mut()
        .and_then(|table| table.remove(SEEN_KEY));
    let body = parse_body(kind, value).map_err(|error| field_error(&entry.to_string(), &error))?;
    let Some(mark) = mark else {
        return Ok(FileEntry {
            entry,
            body: Some(body),
            seen: None,
            untouched: false,
        });
    };
    let (seen, digest) = parse_mark(&entry, &mark)?;
    let untouched = digest == body_digest(&body);
    Ok(FileEntry {
        entry,
        body: Some(body),
        seen: Some(seen),
        untouched,
    })
}

fn parse_mark(entry: &EntryId, mark: &Value) -> Result<(Offset, u64)> {
    let parsed = mark.as_str().and_then(|text| {
        let (revision, digest) = text.split_once('-')?;
        Some((
            Offset(revision.parse().ok()?),
            u64::from_str_radix(digest, 16).ok()?,
        ))
    });
    parsed.ok_or_else(|| {
        SeenSnafu {
            entry: entry.to_string(),
        }
        .build()
        .into()
    })
}

fn parse_body(kind: EntryKind, value: Value) -> std::result::Result<EntryBody, toml::de::Error> {
    fn read<T: DeserializeOwned>(value: Value) -> std::result::Result<T, toml::de::Error> {
        value.try_into()
    }
    Ok(match kind {
        EntryKind::Owner => EntryBody::Owner(read(value)?),
        EntryKind::Pool => EntryBody::Pool(read(value)?),
        EntryKind::Work => EntryBody::Work(read(value)?),
        EntryKind::Wave => EntryBody::Wave(read(value)?),
        EntryKind::Policy => EntryBody::Policy(read(value)?),
    })
}

fn body_table(body: &EntryBody) -> Result<Table> {
    let table = match body {
        EntryBody::Owner(owner) => Table::try_from(owner),
        EntryBody::Pool(pool) => Table::try_from(pool),
        EntryBody::Work(work) => Table::try_from(work),
        EntryBody::Wave(wave) => Table::try_from(wave),
        EntryBody::Policy(policy) => Table::try_from(policy),
    };
    table.map_err(|error| field_error(body.kind().as_str(), &error))
}

fn body_digest(body: &EntryBody) -> u64 {
    digest(serde_json::json!(body).to_string().as_bytes())
}
