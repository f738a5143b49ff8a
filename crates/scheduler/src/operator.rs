//! Follows what operators write: the catalogue and waves of maintenance.

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

/// How long one read waits for a change; bounds the time for which a silent connection hides one.
const READ_WAIT: ClockTime = ClockTime::from_millis(800);
/// Pause after a failed read.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// The waves that operators have asked for.
pub(crate) type WaveBook = BTreeMap<u64, WaveRequest>;

/// Follows what operators write.
pub(crate) struct OperatorTask<P> {
    platform: Arc<P>,
    shared: Arc<MemberShared>,
    waves: watch::Sender<WaveBook>,
}

impl<P: Platform> OperatorTask<P> {
    pub(crate) fn open(
        platform: Arc<P>,
        shared: Arc<MemberShared>,
        waves: watch::Sender<WaveBook>,
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
            self.shared.note_call(Dependency::OperatorEntries, &read);
            match read {
                Ok(page) => {
                    self.shared.saw_store();
                    next = Some(page.next);
                    page.items.into_iter().for_each(|item| self.take(item));
                }
                Err(error) => {
                    if error.category() == Category::Trimmed {
                        next = None;
                    }
                    sleep(RETRY_PAUSE).await;
                }
            }
        }
    }

    fn take(&self, item: OperatorRecord) {
        match item {
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
        }
    }

    /// Replaces the catalogue by a newer one; versions never go back.
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
