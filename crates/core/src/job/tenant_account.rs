//! Account of what each tenant sends and has running, at the owner of the pools.
//!
//! What runs is the sum over the charges of all workers, taken once in each step: a charge exists from the decision to
//! start a run until its end is certain, so the sum is never below what runs. Which jobs are surplus follows
//! from the times of their receipt, so a new owner finds it by counting the open jobs again.

use std::collections::BTreeMap;

use crate::{
    clock::ClockTime,
    name::{PoolName, TenantName},
};

use super::{
    share::PoolShares,
    spec::Resources,
    tenant::{TenantLimit, TenantTable},
};

/// Time ahead of its rate that a tenant may send: several callers at once, or the jobs of an outage that all
/// return together, are no surplus.
const RATE_AHEAD: ClockTime = ClockTime::from_millis(5_000);
/// Interval between log lines on one tenant's steps that wait for its limit.
const HELD_LOG_INTERVAL: ClockTime = ClockTime::from_millis(1_000);
const MILLIS_PER_SEC: f64 = 1_000.0;

/// Position of a tenant in the owner's accounts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TenantSlot(u16);

/// Meter of the jobs that a tenant sends, against its rate (the generic cell rate algorithm).
#[derive(Clone, Copy, Debug, Default)]
struct RateMeter {
    /// Time at which the next job is due at exactly the contracted rate, in milliseconds.
    due_ms: f64,
}

impl RateMeter {
    /// Counts a job; returns whether it is beyond the rate, and not counted.
    fn record(&mut self, rate: f64, at: ClockTime) -> bool {
        let at_ms = at.as_millis() as f64;
        let due_ms = self.due_ms.max(at_ms);
        let is_surplus = rate <= 0.0 || due_ms - at_ms > RATE_AHEAD.as_millis() as f64;
        if !is_surplus {
            self.due_ms = due_ms + MILLIS_PER_SEC / rate;
        }
        is_surplus
    }

    /// Time until the next job is within the rate.
    fn wait(&self, now: ClockTime) -> ClockTime {
        let ahead = self.due_ms - (now + RATE_AHEAD).as_millis() as f64;
        ClockTime::from_millis(ahead.max(0.0).ceil() as u64)
    }
}

/// Account of a tenant.
#[derive(Clone, Debug)]
pub struct TenantAccount {
    /// Name of the tenant.
    pub name: TenantName,
    /// Contracted jobs per second; none for a tenant that no catalogue of this owner has listed.
    pub rate: Option<f64>,
    /// What it may have running.
    pub limit: TenantLimit,
    /// What it has running on all workers.
    pub running: Resources,
    /// What runs may take that no record names, after a takeover.
    unnamed: Resources,
    /// Steps that waited for its limit in the last search.
    pub held_steps: u32,
    /// Jobs received that were surplus.
    pub surplus_jobs: u64,
    meter: RateMeter,
    held_logged_at: Option<ClockTime>,
}

/// Accounts of all tenants with jobs.
#[derive(Clone, Debug, Default)]
pub struct TenantAccounts {
    slots: BTreeMap<TenantName, TenantSlot>,
    accounts: Vec<TenantAccount>,
    /// What the tenants have running in each pool, by slot.
    pools: BTreeMap<PoolName, Vec<Resources>>,
}

impl TenantAccounts {
    /// Takes over the terms of a catalogue. Tenants that it does not list keep their last ones while their jobs
    /// last.
    pub fn set_terms(&mut self, table: &TenantTable) {
        for terms in table.iter() {
            let slot = self.slot(&terms.name);
            if let Some(account) = self.accounts.get_mut(usize::from(slot.0)) {
                account.rate = Some(terms.rate);
                account.limit = terms.limit;
            }
        }
    }

    /// Returns the slot of a tenant, and opens its account if there is none.
    pub fn slot(&mut self, tenant: &TenantName) -> TenantSlot {
        if let Some(slot) = self.slots.get(tenant) {
            return *slot;
        }
        let slot = TenantSlot(self.accounts.len() as u16);
        self.slots.insert(tenant.clone(), slot);
        self.accounts.push(TenantAccount {
            name: tenant.clone(),
            rate: None,
            limit: TenantLimit::default(),
            running: Resources::default(),
            unnamed: Resources::default(),
            held_steps: 0,
            surplus_jobs: 0,
            meter: RateMeter::default(),
            held_logged_at: None,
        });
        slot
    }

    /// Iterates over the accounts.
    pub fn iter(&self) -> impl Iterator<Item = &TenantAccount> {
        self.accounts.iter()
    }

    /// Returns whether there are no tenants.
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }

    /// Returns the account in a slot.
    pub fn account(&self, slot: TenantSlot) -> Option<&TenantAccount> {
        self.accounts.get(usize::from(slot.0))
    }

    /// Name of the tenant in a slot.
    pub fn name(&self, slot: TenantSlot) -> Option<&TenantName> {
        self.account(slot).map(|account| &account.name)
    }

    /// Counts a job by the time of its receipt; returns whether it is surplus.
    ///
    /// ```
    /// use jacinthhoist_core::{ClockTime, TenantName, job::{TenantAccounts, TenantTable, TenantTerms}};
    /// let labs = TenantTerms {
    ///     name: TenantName::new("labs"),
    ///     keys: Default::default(),
    ///     rate: 2.0,
    ///     limit: Default::default(),
    /// };
    /// let mut accounts = TenantAccounts::default();
    /// accounts.set_terms(&TenantTable::open(vec![labs]).unwrap());
    /// let slot = accounts.slot(&TenantName::new("labs"));
    /// let surplus = (0..20).filter(|_| accounts.record_job(slot, ClockTime::from_secs(1)));
    /// assert_eq!(surplus.count(), 9);
    /// ```
    pub fn record_job(&mut self, slot: TenantSlot, received_at: ClockTime) -> bool {
        let Some(account) = self.accounts.get_mut(usize::from(slot.0)) else {
            return false;
        };
        let rate = account.rate;
        let is_surplus = rate.is_some_and(|rate| account.meter.record(rate, received_at));
        account.surplus_jobs += u64::from(is_surplus);
        is_surplus
    }

    /// Time in which a tenant's limit lets a backlog drain of the given work, in units of its resources times
    /// milliseconds.
    pub fn limit_drain(&self, slot: TenantSlot, work: &Resources) -> ClockTime {
        let limit = self.account(slot).map(|account| account.limit.0);
        let limit = limit.unwrap_or_default();
        let parts = [
            (work.cpu, limit.cpu),
            (work.mem_mb, limit.mem_mb),
            (work.gpu, limit.gpu),
        ];
        // Zero means no limit.
        let times = parts
            .into_iter()
            .filter_map(|(work, limit)| work.checked_div(limit));
        ClockTime::from_millis(times.max().unwrap_or(0))
    }

    /// Tenants that are beyond their rate, with the time until they are within it again.
    pub fn surplus_waits(&self, now: ClockTime) -> BTreeMap<TenantName, ClockTime> {
        let waits = self.accounts.iter().map(|account| {
            let wait = account.meter.wait(now);
            (account.name.clone(), wait)
        });
        waits.filter(|(_, wait)| *wait > ClockTime::ZERO).collect()
    }

    /// Adds what runs of a tenant may take that no record names.
    pub fn add_unnamed(&mut self, slot: TenantSlot, usage: &Resources) {
        if let Some(account) = self.accounts.get_mut(slot.index()) {
            account.unnamed = account.unnamed.plus(usage);
        }
    }

    /// Begins a search: forgets the sums of the last one, and the runs that no record names unless some may
    /// still be in progress.
    pub fn begin_search(&mut self, has_unnamed: bool) {
        self.pools.clear();
        for account in &mut self.accounts {
            if !has_unnamed {
                account.unnamed = Resources::default();
            }
            account.running = account.unnamed;
            account.held_steps = 0;
        }
    }

    /// Adds what tenants have running on a worker of a pool.
    pub fn add_running(&mut self, pool: &PoolName, running: &[(TenantSlot, Resources)]) {
        if running.is_empty() {
            return;
        }
        let rows = match self.pools.get_mut(pool) {
            Some(rows) => rows,
            None => self.pools.entry(pool.clone()).or_default(),
        };
        rows.resize(self.accounts.len().max(rows.len()), Resources::default());
        for (slot, usage) in running {
            let account = self.accounts.get_mut(slot.index());
            if let Some((account, row)) = account.zip(rows.get_mut(slot.index())) {
                account.running = account.running.plus(usage);
                *row = row.plus(usage);
            }
        }
    }

    /// Subtracts a charge that was withdrawn before it was ordered.
    pub fn withdraw(&mut self, slot: TenantSlot, pool: &PoolName, need: &Resources) {
        if let Some(account) = self.accounts.get_mut(slot.index()) {
            account.running = account.running.minus(need);
        }
        let rows = self.pools.get_mut(pool);
        if let Some(row) = rows.and_then(|rows| rows.get_mut(slot.index())) {
            *row = row.minus(need);
        }
    }

    /// Returns whether a tenant may start so many tasks with the given need.
    pub fn admits(&self, slot: TenantSlot, need: &Resources, count: u64) -> bool {
        let account = self.account(slot);
        account.is_none_or(|account| account.limit.admits(&account.running, need, count))
    }

    /// Records a step that waits for its tenant's limit; returns the account if that is to be logged.
    pub fn record_held(&mut self, slot: TenantSlot, now: ClockTime) -> Option<&TenantAccount> {
        let account = self.accounts.get_mut(usize::from(slot.0))?;
        account.held_steps += 1;
        let logged_at = account.held_logged_at;
        let is_due = logged_at.is_none_or(|logged_at| now >= logged_at + HELD_LOG_INTERVAL);
        if is_due {
            account.held_logged_at = Some(now);
        }
        is_due.then_some(account)
    }

    /// Shares of the tenants in a pool of the given capacity.
    pub fn shares(&self, pool: &PoolName, capacity: Resources) -> PoolShares {
        let rows = self.pools.get(pool).map_or(&[][..], Vec::as_slice);
        let running = rows
            .iter()
            .copied()
            .chain(std::iter::repeat(Resources::default()));
        let tenants = self.accounts.iter().zip(running);
        let tenants = tenants.map(|(account, running)| (account.rate.unwrap_or(0.0), running));
        PoolShares::open(capacity, tenants)
    }
}

impl TenantSlot {
    /// Position as an index.
    pub(super) fn index(self) -> usize {
        usize::from(self.0)
    }
}
