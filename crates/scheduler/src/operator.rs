//! Reads operator records: the catalogue and maintenance waves.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use jacinthhoist_core::{
    ClockTime,
    job::{JobCatalogue, WaveRequest},
};
use tokio::{sync::watch, time::sleep};

use crate::{
    dependency::Dependency,
    error::Category,
    eventlog::event,
    ports::{OperatorRecord, Platform},
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
            let read = match next {
                None => self.platform.operator_newest().await,
                Some(from) => self.platform.operator_read(from, READ_WAIT).await,
            };
            self.shared.record_call(Dependency::OperatorRecords, &read);
            match read {
                Ok(page) => {
                    self.shared.record_store_answer();
                    next = Some(page.next);
                    page.items.into_iter().for_each(|record| self.apply(record));
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
            OperatorRecord::Catalogue(catalogue) => self.publish(catalogue),
            OperatorRecord::Wave(request) => {
                event!(self.shared.log, Wave, "wave": request.number, "vms": request.vms.len(),
                    "cap": request.cap, "within_ms": request.within.as_millis(),
                    "outcome": "requested");
                self.waves.send_modify(|waves| {
                    waves.insert(request.number, request);
                });
            }
            OperatorRecord::Other => {}
            OperatorRecord::Unreadable { key, reason } => {
                event!(self.shared.log, Unreadable, "key": key, "reason": reason);
            }
        }
    }

    /// Publishes a catalogue unless a newer version is known.
    fn publish(&self, catalogue: Arc<JobCatalogue>) {
        let known = self.shared.catalogue.load();
        if known
            .as_ref()
            .is_some_and(|known| known.version >= catalogue.version)
        {
            return;
        }
        event!(self.shared.log, Reload, "what": "catalogue", "version": catalogue.version,
            "works": catalogue.works.len(), "pools": catalogue.pools.len());
        self.shared.catalogue.store(Some(catalogue));
    }
}
