//! Operator-edited catalogue of work, pools, owners, waves and the policy.

mod check;
mod entry;

use std::{fmt, str::FromStr};

use imbl::OrdMap;
use serde::{Deserialize, Serialize};
use snafu::ensure;

pub use entry::{
    MovePolicy, OwnerEntry, PolicyEntry, PoolEntry, WaveEntry, WaveState, WorkClass, WorkEntry,
};

use crate::{
    error::EntryConflictSnafu,
    name::{EntryName, OwnerName, PoolName, WorkName},
    pairs,
    record::Offset,
};

/// Result of a catalogue step.
pub(crate) type Result<T, E = crate::error::Error> = std::result::Result<T, E>;

/// Kind of a catalogue entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EntryKind {
    /// A team that owns work.
    Owner,
    /// A pool of VMs.
    Pool,
    /// A kind of work.
    Work,
    /// A maintenance wave.
    Wave,
    /// The only policy entry.
    Policy,
}

impl EntryKind {
    /// Returns the name of the entry's table in the catalogue file.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Owner => "owners",
            Self::Pool => "pools",
            Self::Work => "works",
            Self::Wave => "waves",
            Self::Policy => "policy",
        }
    }
}

impl FromStr for EntryKind {
    type Err = ();

    fn from_str(text: &str) -> std::result::Result<Self, ()> {
        [
            Self::Owner,
            Self::Pool,
            Self::Work,
            Self::Wave,
            Self::Policy,
        ]
        .into_iter()
        .find(|kind| kind.as_str() == text)
        .ok_or(())
    }
}

/// Identity of a catalogue entry.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct EntryId {
    /// Kind of the entry.
    pub kind: EntryKind,
    /// Name of the entry, unique within its kind.
    pub name: EntryName,
}

impl EntryId {
    /// Creates the identity of an entry.
    pub fn new(kind: EntryKind, name: &str) -> Self {
        Self {
            kind,
            name: EntryName::new(name),
        }
    }
}

impl fmt::Display for EntryId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.kind.as_str(), self.name)
    }
}

/// Contents of a catalogue entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EntryBody {
    /// A team that owns work.
    Owner(OwnerEntry),
    /// A pool of VMs.
    Pool(PoolEntry),
    /// A kind of work.
    Work(WorkEntry),
    /// A maintenance wave.
    Wave(WaveEntry),
    /// The only policy entry.
    Policy(PolicyEntry),
}

impl EntryBody {
    /// Returns the kind of entry that has these contents.
    pub fn kind(&self) -> EntryKind {
        match self {
            Self::Owner(_) => EntryKind::Owner,
            Self::Pool(_) => EntryKind::Pool,
            Self::Work(_) => EntryKind::Work,
            Self::Wave(_) => EntryKind::Wave,
            Self::Policy(_) => EntryKind::Policy,
        }
    }
}

/// An accepted catalogue entry and the offset of its last change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EntryRecord {
    /// Offset of the last change.
    pub revision: Offset,
    /// Contents, or `None` if the entry was removed.
    pub body: Option<EntryBody>,
}

/// Creation, replacement or removal of one entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CatalogueEdit {
    /// Identity of the entry.
    pub entry: EntryId,
    /// Revision that the operator read, or `None` if the entry did not exist.
    pub based_on: Option<Offset>,
    /// New contents, or `None` to remove the entry.
    pub body: Option<EntryBody>,
}

/// Edits that are accepted or rejected as one transaction.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CatalogueChange {
    /// Name of the operator, as stated in the request.
    pub operator: String,
    /// Edits in order of application.
    pub edits: Vec<CatalogueEdit>,
}

/// The accepted catalogue.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CatalogueState {
    #[serde(with = "pairs")]
    entries: OrdMap<EntryId, EntryRecord>,
    revision: Option<Offset>,
}

impl CatalogueState {
    /// Returns the offset of the last change to the catalogue.
    pub fn revision(&self) -> Option<Offset> {
        self.revision
    }

    /// Iterates over the entries that have not been removed.
    pub fn entries(&self) -> impl Iterator<Item = (&EntryId, &EntryRecord, &EntryBody)> {
        self.entries
            .iter()
            .filter_map(|(id, record)| Some((id, record, record.body.as_ref()?)))
    }

    /// Iterates over removed entries with the offsets of their removal.
    pub fn removed(&self) -> impl Iterator<Item = (&EntryId, Offset)> {
        let removed = self
            .entries
            .iter()
            .filter(|(_, record)| record.body.is_none());
        removed.map(|(id, record)| (id, record.revision))
    }

    /// Returns the record of an entry, even if the entry was removed.
    pub fn record(&self, id: &EntryId) -> Option<&EntryRecord> {
        self.entries.get(id)
    }

    fn body(&self, kind: EntryKind, name: &str) -> Option<&EntryBody> {
        self.entries.get(&EntryId::new(kind, name))?.body.as_ref()
    }

    /// Returns a kind of work by name.
    pub fn work(&self, name: &WorkName) -> Option<&WorkEntry> {
        match self.body(EntryKind::Work, name.as_str())? {
            EntryBody::Work(work) => Some(work),
            _ => None,
        }
    }

    /// Returns a pool by name.
    pub fn pool(&self, name: &PoolName) -> Option<&PoolEntry> {
        match self.body(EntryKind::Pool, name.as_str())? {
            EntryBody::Pool(pool) => Some(pool),
            _ => None,
        }
    }

    /// Returns an owner by name.
    pub fn owner(&self, name: &OwnerName) -> Option<&OwnerEntry> {
        match self.body(EntryKind::Owner, name.as_str())? {
            EntryBody::Owner(owner) => Some(owner),
            _ => None,
        }
    }

    /// Returns the policy, or the default policy if the catalogue has none.
    pub fn policy(&self) -> PolicyEntry {
        match self.body(EntryKind::Policy, "policy") {
            Some(EntryBody::Policy(policy)) => policy.clone(),
            _ => PolicyEntry::default(),
        }
    }

    /// Iterates over the pools in order of name.
    pub fn pools(&self) -> impl Iterator<Item = (PoolName, &PoolEntry)> {
        self.entries().filter_map(|(id, _, body)| match body {
            EntryBody::Pool(pool) => Some((PoolName::new(id.name.as_str()), pool)),
            _ => None,
        })
    }

    /// Iterates over the kinds of work in order of name.
    pub fn works(&self) -> impl Iterator<Item = (WorkName, &WorkEntry)> {
        self.entries().filter_map(|(id, _, body)| match body {
            EntryBody::Work(work) => Some((WorkName::new(id.name.as_str()), work)),
            _ => None,
        })
    }

    /// Iterates over the waves in order of name.
    pub fn waves(&self) -> impl Iterator<Item = (&EntryName, &WaveEntry)> {
        self.entries().filter_map(|(id, _, body)| match body {
            EntryBody::Wave(wave) => Some((&id.name, wave)),
            _ => None,
        })
    }

    /// Returns the catalogue with a change applied at an offset.
    ///
    /// # Errors
    ///
    /// A conflict if an edited entry changed after it was read; an invalid entry if the resulting
    /// catalogue fails validation.
    pub fn with_change(&self, offset: Offset, change: &CatalogueChange) -> Result<Self> {
        let mut next = self.clone();
        for edit in &change.edits {
            let current = self.entries.get(&edit.entry).map(|record| record.revision);
            let based_on = edit.based_on.unwrap_or_default();
            ensure!(
                current <= edit.based_on,
                EntryConflictSnafu {
                    entry: edit.entry.clone(),
                    current: current.unwrap_or_default(),
                    based_on,
                }
            );
            let record = EntryRecord {
                revision: offset,
                body: edit.body.clone(),
            };
            next.entries.insert(edit.entry.clone(), record);
        }
        next.revision = Some(offset);
        check::validate(&next)?;
        Ok(next)
    }

    /// Returns the edits that give each listed entry its wanted body; other entries stay unchanged.
    pub fn edits_to(&self, wanted: &[(EntryId, Option<EntryBody>)]) -> Vec<CatalogueEdit> {
        let differs = |(id, body): &&(EntryId, Option<EntryBody>)| {
            self.entries.get(id).and_then(|record| record.body.as_ref()) != body.as_ref()
        };
        wanted
            .iter()
            .filter(differs)
            .map(|(id, body)| CatalogueEdit {
                entry: id.clone(),
                based_on: self.entries.get(id).map(|record| record.revision),
                body: body.clone(),
            })
            .collect()
    }
}
