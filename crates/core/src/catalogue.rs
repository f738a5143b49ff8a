//! The catalogue: every kind of work, pool, owner, wave and the policy, edited by operators.

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

/// The result of a catalogue step.
pub(crate) type Result<T, E = crate::error::Error> = std::result::Result<T, E>;

/// The kinds of catalogue entry.
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
    /// The one policy.
    Policy,
}

impl EntryKind {
    /// The table's name in the operators' file.
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

/// The identity of a catalogue entry.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct EntryId {
    /// The entry's kind.
    pub kind: EntryKind,
    /// The entry's name within its kind.
    pub name: EntryName,
}

impl EntryId {
    /// The identity of an entry.
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

/// What a catalogue entry says.
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
    /// The one policy.
    Policy(PolicyEntry),
}

impl EntryBody {
    /// The kind of entry that this is.
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

/// An accepted entry with the offset that last changed it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EntryRecord {
    /// Where the entry was last changed.
    pub revision: Offset,
    /// What it says; none where it was removed.
    pub body: Option<EntryBody>,
}

/// One edit: put an entry, or remove it where the body is none.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CatalogueEdit {
    /// The entry.
    pub entry: EntryId,
    /// The revision the operator saw; none where the entry was not there.
    pub based_on: Option<Offset>,
    /// What it shall say.
    pub body: Option<EntryBody>,
}

/// Edits that are accepted together or not at all.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CatalogueChange {
    /// Who made the change, as told.
    pub operator: String,
    /// The edits.
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
    /// Where the catalogue last changed.
    pub fn revision(&self) -> Option<Offset> {
        self.revision
    }

    /// All entries that are not removed.
    pub fn entries(&self) -> impl Iterator<Item = (&EntryId, &EntryRecord, &EntryBody)> {
        self.entries
            .iter()
            .filter_map(|(id, slot)| Some((id, slot, slot.body.as_ref()?)))
    }

    /// Entries that were removed, with the offset of their removal.
    pub fn removed(&self) -> impl Iterator<Item = (&EntryId, Offset)> {
        let removed = self.entries.iter().filter(|(_, slot)| slot.body.is_none());
        removed.map(|(id, slot)| (id, slot.revision))
    }

    /// The slot of an entry, removed ones included.
    pub fn record(&self, id: &EntryId) -> Option<&EntryRecord> {
        self.entries.get(id)
    }

    fn body(&self, kind: EntryKind, name: &str) -> Option<&EntryBody> {
        self.entries.get(&EntryId::new(kind, name))?.body.as_ref()
    }

    /// A kind of work.
    pub fn work(&self, name: &WorkName) -> Option<&WorkEntry> {
        match self.body(EntryKind::Work, name.as_str())? {
            EntryBody::Work(work) => Some(work),
            _ => None,
        }
    }

    /// A pool.
    pub fn pool(&self, name: &PoolName) -> Option<&PoolEntry> {
        match self.body(EntryKind::Pool, name.as_str())? {
            EntryBody::Pool(pool) => Some(pool),
            _ => None,
        }
    }

    /// An owner.
    pub fn owner(&self, name: &OwnerName) -> Option<&OwnerEntry> {
        match self.body(EntryKind::Owner, name.as_str())? {
            EntryBody::Owner(owner) => Some(owner),
            _ => None,
        }
    }

    /// The policy, or its defaults.
    pub fn policy(&self) -> PolicyEntry {
        match self.body(EntryKind::Policy, "policy") {
            Some(EntryBody::Policy(policy)) => policy.clone(),
            _ => PolicyEntry::default(),
        }
    }

    /// All pools in order of name.
    pub fn pools(&self) -> impl Iterator<Item = (PoolName, &PoolEntry)> {
        self.entries().filter_map(|(id, _, body)| match body {
            EntryBody::Pool(pool) => Some((PoolName::new(id.name.as_str()), pool)),
            _ => None,
        })
    }

    /// All kinds of work in order of name.
    pub fn works(&self) -> impl Iterator<Item = (WorkName, &WorkEntry)> {
        self.entries().filter_map(|(id, _, body)| match body {
            EntryBody::Work(work) => Some((WorkName::new(id.name.as_str()), work)),
            _ => None,
        })
    }

    /// All waves in order of name.
    pub fn waves(&self) -> impl Iterator<Item = (&EntryName, &WaveEntry)> {
        self.entries().filter_map(|(id, _, body)| match body {
            EntryBody::Wave(wave) => Some((&id.name, wave)),
            _ => None,
        })
    }

    /// The state after a change at an offset.
    ///
    /// # Errors
    ///
    /// A conflict where an edited entry changed since it was read; an invalid entry where the
    /// catalogue as a whole could not be used.
    pub fn with_change(&self, offset: Offset, change: &CatalogueChange) -> Result<Self> {
        let mut next = self.clone();
        for edit in &change.edits {
            let current = self.entries.get(&edit.entry).map(|slot| slot.revision);
            let based_on = edit.based_on.unwrap_or_default();
            ensure!(
                current <= edit.based_on,
                EntryConflictSnafu {
                    entry: edit.entry.clone(),
                    current: current.unwrap_or_default(),
                    based_on,
                }
            );
            let slot = EntryRecord {
                revision: offset,
                body: edit.body.clone(),
            };
            next.entries.insert(edit.entry.clone(), slot);
        }
        next.revision = Some(offset);
        check::check(&next)?;
        Ok(next)
    }

    /// The edits that lead from this catalogue to the wanted bodies, leaving other entries alone.
    pub fn edits_to(&self, wanted: &[(EntryId, Option<EntryBody>)]) -> Vec<CatalogueEdit> {
        let differs = |(id, body): &&(EntryId, Option<EntryBody>)| {
            self.entries.get(id).and_then(|slot| slot.body.as_ref()) != body.as_ref()
        };
        wanted
            .iter()
            .filter(differs)
            .map(|(id, body)| CatalogueEdit {
                entry: id.clone(),
                based_on: self.entries.get(id).map(|slot| slot.revision),
                body: body.clone(),
            })
            .collect()
    }
}
