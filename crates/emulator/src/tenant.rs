//! Tenants of the emulated platform: their keys over time, and what each may have running.

use std::{collections::BTreeMap, sync::Arc};

use jacinthhoist_core::{
    ClockTime, TenantName,
    job::{JobCatalogue, JobId, KeyHash, Resources, TenantLimit, TenantTable, TenantTerms},
};
use jacinthhoist_scheduler::ports::OperatorRecord;
use rand::RngExt;

use crate::{model::ModelState, scenario::EmulationScenario};

/// Time within which a withdrawn key must be refused by every member.
pub(crate) const REVOCATION_SPAN: ClockTime = ClockTime::from_millis(5_000);
/// Part of the calls that carry the key before the present one.
const OLD_KEY_SHARE: f64 = 0.2;
/// Part of its first limit to which a tenant's limit is lowered, as one over this number.
const LOWERED_PART: u64 = 2;

/// Limit on the CPU of a tenant's running tasks, in thousandths of a core, and the time at which the store confirmed it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitHistory {
    /// Time of the confirmation.
    pub at: ClockTime,
    /// Limit from then on.
    pub cpu: u64,
}

/// Call that a member answered with success.
#[derive(Clone, Debug)]
pub struct KeyedCall {
    /// Time at which the call was sent.
    pub sent_at: ClockTime,
    /// Time at which the store confirmed the withdrawal of its key; none if it was not withdrawn by then.
    pub withdrawn_at: Option<ClockTime>,
}

/// Tenants of a run.
#[derive(Clone, Debug, Default)]
pub(crate) struct EmulatedTenants {
    catalogue: Option<Arc<JobCatalogue>>,
    /// Number of the present key of each tenant.
    key_numbers: Vec<u32>,
    /// Withdrawn keys, by tenant and number.
    withdrawn: BTreeMap<(usize, u32), ClockTime>,
    limit_cpu: u64,
}

/// Name of a tenant.
pub(crate) fn tenant_name(tenant: usize) -> TenantName {
    TenantName::new(&format!("tenant-{tenant}"))
}

fn key(tenant: usize, number: u32) -> KeyHash {
    KeyHash::of(&format!("key-{tenant}-{number}"))
}

impl EmulatedTenants {
    /// Creates the tenants of a scenario, whose catalogue lists them.
    pub(crate) fn open(scenario: &EmulationScenario, catalogue: JobCatalogue) -> Self {
        let key_numbers = vec![0; scenario.tenants];
        let mut tenants = Self {
            catalogue: None,
            key_numbers,
            withdrawn: BTreeMap::new(),
            limit_cpu: scenario.tenant_cpu,
        };
        tenants.catalogue = Some(Arc::new(tenants.listed_in(catalogue)));
        tenants
    }

    /// Present version of the catalogue.
    pub(crate) fn record(&self) -> Option<OperatorRecord> {
        let catalogue = self.catalogue.clone()?;
        Some(OperatorRecord::Catalogue(catalogue, Vec::new()))
    }

    fn listed_in(&self, catalogue: JobCatalogue) -> JobCatalogue {
        if self.key_numbers.is_empty() {
            return catalogue;
        }
        let numbers = self.key_numbers.iter().enumerate();
        let terms = numbers.map(|(tenant, number)| TenantTerms {
            name: tenant_name(tenant),
            keys: [key(tenant, *number)].into_iter().collect(),
            rate: 1.0,
            limit: TenantLimit(Resources {
                cpu: self.limit_cpu,
                ..Resources::default()
            }),
        });
        let table = TenantTable::open(terms.collect()).expect("distinct names and keys");
        JobCatalogue {
            unreadable: Vec::new(),
            tenants: Some(table),
            ..catalogue
        }
    }

    fn next_version(&mut self) {
        if let Some(catalogue) = &self.catalogue {
            let mut next = JobCatalogue::clone(catalogue);
            next.version += 1;
            self.catalogue = Some(Arc::new(self.listed_in(next)));
        }
    }

    /// Tenant that submits a job; none without tenants.
    pub(crate) fn tenant_of(&self, job: JobId) -> Option<usize> {
        let count = self.key_numbers.len() as u64;
        (count > 0).then(|| (job.0 % count) as usize)
    }
}

impl ModelState {
    /// Chooses the key of a call for a job, and tells when it was withdrawn.
    pub(crate) fn draw_key(&mut self, job: JobId) -> Option<(KeyHash, Option<ClockTime>)> {
        let tenant = self.tenants.tenant_of(job)?;
        let present = self.tenants.key_numbers[tenant];
        let is_old = present > 0 && self.rng.random_bool(OLD_KEY_SHARE);
        let number = present - u32::from(is_old);
        let withdrawn_at = self.tenants.withdrawn.get(&(tenant, number));
        Some((key(tenant, number), withdrawn_at.copied()))
    }

    /// Key of a job's tenant that counts.
    pub(crate) fn present_key(&self, job: JobId) -> Option<KeyHash> {
        let tenant = self.tenants.tenant_of(job)?;
        Some(key(tenant, self.tenants.key_numbers[tenant]))
    }

    /// Replaces the keys of some tenants.
    pub(crate) fn withdraw_keys(&mut self, count: usize, now: ClockTime) {
        let tenants = self.tenants.key_numbers.len();
        for _ in 0..count.min(tenants) {
            let tenant = self.rng.random_range(0..tenants);
            let number = &mut self.tenants.key_numbers[tenant];
            self.tenants.withdrawn.insert((tenant, *number), now);
            *number += 1;
        }
        self.publish_tenants();
    }

    /// Lowers the limit of all tenants.
    pub(crate) fn lower_limits(&mut self, now: ClockTime) {
        let Some(first) = self.history.tenant_limits.first().copied() else {
            return;
        };
        let cpu = first.cpu / LOWERED_PART;
        self.tenants.limit_cpu = cpu;
        self.history
            .tenant_limits
            .push(LimitHistory { at: now, cpu });
        self.publish_tenants();
    }

    fn publish_tenants(&mut self) {
        self.tenants.next_version();
        if let Some(record) = self.tenants.record() {
            self.operator_records.push("config", record, false);
        }
    }
}
