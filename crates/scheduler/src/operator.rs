//! Reads operator records: the catalogue and maintenance waves.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use jacinthhoist_core::{
    ClockTime,
    job::{JobCatalogue, TenantTable, WaveRequest},
};
use tokio::{sync::watch, time::sleep};

use crate::{
    dependency::Dependency,
    error::Category,
    eventlog::event,
    ports::{OperatorRecord, Platform, UnreadableRow},
    shared::MemberShared,
};

/// Maximum wait of one read; bounds the delay of a change on a connection that has gone silent.
const READ_WAIT: ClockTime = ClockTime::from_millis(800);
/// Delay after a failed read.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Maintenance waves requested by operators, by number.
pub(crate) type WaveRequests = BTreeMap<u64, WaveRequest>;

/// Task that reads operator records.
pub(crate) struct OperatorTask<P> {
    platform: Arc<P>,
    shared: Arc<MemberShared>,
    waves: watch::Sender<WaveRequests>,
}

impl<P: Platform> OperatorTask<P> {
    pub(crate) fn open(
        platform: Arc<P>,
        shared: Arc<MemberShared>,
        waves: watch::Sender<WaveRequests>,
    ) -> Self {
        Self {
            platform,
            shared,
            waves,
        }
    }

    pub(crate) async fn run(self) {
        let mut next = None;
        loop {
            let asked_at = self.shared.clock.now();
            let is_list = next.is_none();
            let read = match next {
                None => self.platform.operator_newest().await,
                Some(from) => self.platform.operator_read(from, READ_WAIT).await,
            };
            self.shared.record_call(Dependency::OperatorRecords, &read);
            match read {
                Ok(page) => {
                    self.shared.record_store_answer();
                    next = Some(page.next);
                    let is_complete = is_list || page.next >= page.end;
                    let mut newest_first = page.items.iter().rev();
                    let is_unreadable = newest_first.find_map(is_unreadable_catalogue);
                    page.items.into_iter().for_each(|record| self.apply(record));
                    self.shared
                        .record_catalogue_read(asked_at, is_complete, is_unreadable);
                }
                Err(error) => {
                    if error.category() == Category::Trimmed {
                        next = None;
                    }
                    sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    fn apply(&self, record: OperatorRecord) {
        match record {
            OperatorRecord::Catalogue(catalogue, unreadable) => {
                for UnreadableRow { key, reason } in unreadable {
                    event!(self.shared.log, Unreadable, "key": key, "reason": reason,
                        "version": catalogue.version);
                }
                self.publish(catalogue);
            }
            OperatorRecord::Wave(request) => {
                event!(self.shared.log, Wave, "wave": request.number, "vms": request.vms.len(),
                    "cap": request.cap, "within_ms": request.within.as_millis(),
                    "outcome": "requested");
                self.waves.send_modify(|waves| {
                    waves.insert(request.number, request);
                });
            }
            OperatorRecord::Other => {}
            OperatorRecord::Unreadable { key, reason, .. } => {
                event!(self.shared.log, Unreadable, "key": key, "reason": reason);
            }
        }
    }

    /// Publishes a catalogue unless a newer version is known.
    fn publish(&self, mut catalogue: Arc<JobCatalogue>) {
        let known = self.shared.catalogue.load();
        if known
            .as_ref()
            .is_some_and(|known| known.version >= catalogue.version)
        {
            return;
        }
        let earlier = known.as_ref().and_then(|known| known.tenants.as_ref());
        Arc::make_mut(&mut catalogue).record_withdrawn_keys(earlier);
        let tenants = catalogue.tenants.as_ref();
        event!(self.shared.log, Reload, "what": "catalogue", "version": catalogue.version,
            "works": catalogue.works.len(), "pools": catalogue.pools.len(),
            "tenants": tenants.map(|tenants| tenants.iter().count()),
            "keys": tenants.map(TenantTable::count_keys));
        self.shared.catalogue.store(Some(catalogue));
    }
}

/// Returns for a catalogue whether it cannot be decoded; `None` for other records.
fn is_unreadable_catalogue(record: &OperatorRecord) -> Option<bool> {
    match record {
        OperatorRecord::Catalogue(..) => Some(false),
        OperatorRecord::Unreadable {
            is_catalogue: true, ..
        } => Some(true),
        _ => None,
    }
}
