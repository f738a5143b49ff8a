//! Operators' catalogue file, in TOML.

use jacinthhoist_core::{CatalogueEdit, EntryBody, EntryId, EntryKind, Offset};
use serde::de::DeserializeOwned;
use snafu::ResultExt;
use toml::{Table, Value};

use crate::{
    admin::CatalogueView,
    digest::digest,
    error::{EntryFieldSnafu, Error, Result, SeenMarkSnafu, TomlSnafu, UnknownTableSnafu},
};

/// Key of the mark in which `catalogue show` records an entry's revision and digest.
const SEEN_KEY: &str = "seen";
/// Key of the list of entries to remove.
const REMOVE_KEY: &str = "remove";

/// An entry of a catalogue file.
#[derive(Clone, Debug, PartialEq)]
pub struct FileEntry {
    /// Kind and name of the entry.
    pub entry: EntryId,
    /// Value of the entry, or `None` if it is to be removed.
    pub body: Option<EntryBody>,
    /// Revision on which the operator's edit is based, if the entry has a mark.
    pub seen_revision: Option<Offset>,
    /// True if the value has not changed since `catalogue show` wrote the file.
    pub unmodified: bool,
}

/// A catalogue file: entries to set and entries to remove.
///
/// Entries that are not in the file stay unchanged.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CatalogueFile {
    /// Entries in the order of the parsed TOML tables.
    pub entries: Vec<FileEntry>,
}

impl CatalogueFile {
    /// Parses the text of a file.
    ///
    /// # Errors
    ///
    /// The text is not valid TOML, or an entry is invalid; the message names the entry and the
    /// field.
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
                _ => entries.extend(parse_entries(kind, value)?),
            }
        }
        Ok(Self { entries })
    }

    /// Computes the edits that change the current catalogue to match the file.
    ///
    /// Entries unmodified since `catalogue show` are skipped, so that two operators with full files
    /// conflict only in entries that both have edited.
    ///
    /// ```
    /// use jacinthhoist_codec::{CatalogueFile, CatalogueView};
    /// let file = CatalogueFile::parse("[owners.a]\nweight = 2").unwrap();
    /// let empty = CatalogueView { revision: None, entries: vec![] };
    /// assert_eq!(file.edits(&empty).len(), 1);
    /// ```
    pub fn edits(&self, current: &CatalogueView) -> Vec<CatalogueEdit> {
        let mut edits = Vec::new();
        for wanted in self.entries.iter().filter(|wanted| !wanted.unmodified) {
            let existing = current
                .entries
                .iter()
                .find(|existing| existing.entry == wanted.entry);
            let body = existing.and_then(|existing| existing.body.as_ref());
            if body == wanted.body.as_ref() {
                continue;
            }
            let based_on = wanted
                .seen_revision
                .or(existing.map(|existing| existing.revision));
            let entry = wanted.entry.clone();
            edits.push(CatalogueEdit {
                entry,
                based_on,
                body: wanted.body.clone(),
            });
        }
        edits
    }

    /// Renders the catalogue as a file, each entry marked with its revision and digest.
    ///
    /// # Errors
    ///
    /// An entry cannot be represented in TOML; entries created by the core always can.
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
        .ok_or_else(|| field_error(REMOVE_KEY, &"must be a list such as [\"works.old\"]"))?;
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
        seen_revision: None,
        unmodified: false,
    })
}

fn parse_entries(kind: EntryKind, value: Value) -> Result<Vec<FileEntry>> {
    let Value::Table(table) = value else {
        return Err(field_error(kind.as_str(), &"must be a table of entries"));
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
            seen_revision: None,
            unmodified: false,
        });
    };
    let (revision, digest) = parse_mark(&entry, &mark)?;
    let unmodified = digest == body_digest(&body);
    Ok(FileEntry {
        entry,
        body: Some(body),
        seen_revision: Some(revision),
        unmodified,
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
        SeenMarkSnafu {
            entry: entry.to_string(),
        }
        .build()
        .into()
    })
}

fn parse_body(kind: EntryKind, value: Value) -> std::result::Result<EntryBody, toml::de::Error> {
    fn convert<T: DeserializeOwned>(value: Value) -> std::result::Result<T, toml::de::Error> {
        value.try_into()
    }
    Ok(match kind {
        EntryKind::Owner => EntryBody::Owner(convert(value)?),
        EntryKind::Pool => EntryBody::Pool(convert(value)?),
        EntryKind::Work => EntryBody::Work(convert(value)?),
        EntryKind::Wave => EntryBody::Wave(convert(value)?),
        EntryKind::Policy => EntryBody::Policy(convert(value)?),
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
