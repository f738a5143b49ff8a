//! Tenants: whose key a call carries, and what each tenant has contracted.

use std::{collections::HashMap, fmt, result};

use sha2::{Digest, Sha256};
use smallvec::SmallVec;
use snafu::{Snafu, ensure};

use crate::name::TenantName;

use super::spec::Resources;

/// Keys that were withdrawn and are remembered to explain refusals.
const MAX_WITHDRAWN_KEYS: usize = 1_024;
/// Bytes of a hash that are shown: enough to tell the keys of a catalogue apart.
const SHOWN_HASH_BYTES: usize = 4;

/// Result of reading tenants.
pub(super) type Result<T, E = TenantError> = result::Result<T, E>;

/// Error in a list of tenants; each message names the remedy and no key.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum TenantError {
    /// Two tenants have the same name.
    #[snafu(display("tenant `{tenant}` is listed twice: merge the two entries"))]
    TwoEntries {
        /// Name of the tenants.
        tenant: TenantName,
    },
    /// Two tenants have the same key.
    #[snafu(display("key {key} belongs to `{one}` and to `{other}`: give each its own"))]
    SharedKey {
        /// Hash of the key.
        key: KeyHash,
        /// First tenant.
        one: TenantName,
        /// Second tenant.
        other: TenantName,
    },
    /// The contracted rate is not a number of jobs per second.
    #[snafu(display("the rate of tenant `{tenant}` is not a finite number of at least 0"))]
    Rate {
        /// Name of the tenant.
        tenant: TenantName,
    },
}

/// Hash of a key. Keys themselves are not kept.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyHash([u8; 32]);

impl KeyHash {
    /// Hashes a key.
    ///
    /// ```
    /// use jacinthhoist_core::job::KeyHash;
    /// assert_ne!(KeyHash::of("a"), KeyHash::of("b"));
    /// assert_eq!(format!("{:?}", KeyHash::of("a")), "ca978112");
    /// ```
    pub fn of(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }
}

impl fmt::Debug for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let shown = self.0.iter().take(SHOWN_HASH_BYTES);
        shown
            .into_iter()
            .try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Display for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(self, f)
    }
}

/// Resources that a tenant may have running; zero means no limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TenantLimit(pub Resources);

impl TenantLimit {
    /// Returns whether a tenant that has `used` running may start `count` tasks that need `need` each. A
    /// single task may exceed the limit if nothing else of the tenant runs, as it would wait forever.
    ///
    /// ```
    /// use jacinthhoist_core::job::{Resources, TenantLimit};
    /// let cpu = |cpu| Resources { cpu, ..Resources::default() };
    /// let limit = TenantLimit(cpu(4_000));
    /// assert!(limit.admits(&cpu(2_000), &cpu(1_000), 2));
    /// assert!(!limit.admits(&cpu(2_000), &cpu(1_000), 3));
    /// assert!(limit.admits(&cpu(0), &cpu(5_000), 1) && !limit.admits(&cpu(0), &cpu(2_500), 2));
    /// ```
    pub fn admits(&self, used: &Resources, need: &Resources, count: u64) -> bool {
        let after = used.plus(&need.times(count));
        let is_within = |limit: u64, after: u64| limit == 0 || after <= limit;
        let fits = is_within(self.0.cpu, after.cpu)
            && is_within(self.0.mem_mb, after.mem_mb)
            && is_within(self.0.gpu, after.gpu);
        fits || count == 1 && *used == Resources::default()
    }
}

/// What a tenant has contracted.
#[derive(Clone, Debug, PartialEq)]
pub struct TenantTerms {
    /// Name of the tenant.
    pub name: TenantName,
    /// Hashes of its keys.
    pub keys: SmallVec<[KeyHash; 2]>,
    /// Jobs per second, and its weight in a full pool.
    pub rate: f64,
    /// What it may have running on all workers.
    pub limit: TenantLimit,
}

/// Reason for which a key does not count.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyRefusal {
    /// The call carries no key.
    Missing,
    /// No tenant has the key.
    Unknown,
    /// The key was withdrawn by this version of the catalogue.
    Withdrawn {
        /// Version of the catalogue.
        version: u64,
    },
}

impl KeyRefusal {
    /// Short name for metrics and log lines.
    pub fn label(self) -> &'static str {
        match self {
            Self::Missing => "missing",
            Self::Unknown => "unknown",
            Self::Withdrawn { .. } => "withdrawn",
        }
    }
}

/// Immutable list of the tenants of a catalogue version.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TenantTable {
    tenants: Vec<TenantTerms>,
    /// Positions in the list by key.
    by_key: HashMap<KeyHash, usize>,
    /// Keys that earlier versions had, with the version that withdrew them.
    withdrawn: HashMap<KeyHash, u64>,
}

impl TenantTable {
    /// Creates a table.
    ///
    /// ```
    /// use jacinthhoist_core::{TenantName, job::{KeyHash, TenantLimit, TenantTable, TenantTerms}};
    /// let terms = |name: &str, key| TenantTerms {
    ///     name: TenantName::new(name),
    ///     keys: [KeyHash::of(key)].into_iter().collect(),
    ///     rate: 2.0,
    ///     limit: TenantLimit::default(),
    /// };
    /// let table = TenantTable::open(vec![terms("utilities", "k1"), terms("labs", "k2")]).unwrap();
    /// assert_eq!(table.authenticate(Some(&KeyHash::of("k2"))).unwrap().name.as_str(), "labs");
    /// assert!(TenantTable::open(vec![terms("utilities", "k1"), terms("labs", "k1")]).is_err());
    /// ```
    ///
    /// # Errors
    ///
    /// A name or a key occurs twice, or a rate is not a number.
    pub fn open(tenants: Vec<TenantTerms>) -> Result<Self> {
        let mut by_key = HashMap::new();
        let mut names: Vec<&TenantName> = tenants.iter().map(|tenant| &tenant.name).collect();
        names.sort_unstable();
        if let Some(pair) = names.windows(2).find(|pair| pair[0] == pair[1]) {
            let tenant = pair[0].clone();
            return TwoEntriesSnafu { tenant }.fail();
        }
        for (position, tenant) in tenants.iter().enumerate() {
            let tenant_name = &tenant.name;
            let is_rate = tenant.rate.is_finite() && tenant.rate >= 0.0;
            ensure!(
                is_rate,
                RateSnafu {
                    tenant: tenant_name.clone()
                }
            );
            for key in &tenant.keys {
                let other = by_key.insert(*key, position);
                let Some(other) = other.filter(|other| *other != position) else {
                    continue;
                };
                let one = tenants[other].name.clone();
                let other = tenant_name.clone();
                return SharedKeySnafu {
                    key: *key,
                    one,
                    other,
                }
                .fail();
            }
        }
        let withdrawn = HashMap::new();
        Ok(Self {
            tenants,
            by_key,
            withdrawn,
        })
    }

    /// Adds the keys that this table, of the given version, lacks and an earlier one had.
    pub fn record_withdrawn(&mut self, earlier: &Self, version: u64) {
        let known = earlier.withdrawn.iter().map(|(key, at)| (*key, *at));
        let new = earlier.by_key.keys().map(|key| (*key, version));
        let by_key = &self.by_key;
        let withdrawn = known
            .chain(new)
            .filter(|(key, _)| !by_key.contains_key(key));
        let mut withdrawn: Vec<(KeyHash, u64)> = withdrawn.collect();
        withdrawn.sort_unstable_by_key(|(_, at)| std::cmp::Reverse(*at));
        withdrawn.truncate(MAX_WITHDRAWN_KEYS);
        self.withdrawn = withdrawn.into_iter().collect();
    }

    /// Returns the tenant that a key belongs to.
    ///
    /// # Errors
    ///
    /// The reason for which the key does not count.
    pub fn authenticate(&self, key: Option<&KeyHash>) -> Result<&TenantTerms, KeyRefusal> {
        let key = key.ok_or(KeyRefusal::Missing)?;
        let position = self.by_key.get(key);
        let tenant = position.and_then(|position| self.tenants.get(*position));
        let refusal = || match self.withdrawn.get(key) {
            Some(version) => KeyRefusal::Withdrawn { version: *version },
            None => KeyRefusal::Unknown,
        };
        tenant.ok_or_else(refusal)
    }

    /// Iterates over the tenants.
    pub fn iter(&self) -> impl Iterator<Item = &TenantTerms> {
        self.tenants.iter()
    }

    /// Number of keys of all tenants.
    pub fn count_keys(&self) -> usize {
        self.by_key.len()
    }
}
