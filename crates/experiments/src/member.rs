//! An entry member on a runtime of its own, so that it can be killed as a process would be.

use std::ops::Deref;

use jacinthhoist_entry::{EntryMember, EntrySettings, open_runtime};
use tokio::runtime::Runtime;

/// A running member with its runtime; dropping it kills it with all it had in flight.
pub struct LocalMember {
    member: Option<EntryMember>,
    runtime: Option<Runtime>,
}

impl LocalMember {
    /// Starts a member on a runtime with this many threads.
    ///
    /// # Panics
    ///
    /// Where threads or loopback addresses cannot be had.
    pub async fn spawn(settings: EntrySettings, threads: usize) -> Self {
        let runtime = open_runtime(threads).expect("a runtime starts");
        let started = runtime.spawn(EntryMember::spawn(settings)).await;
        let member = started.expect("the start ends").expect("a member starts");
        Self {
            member: Some(member),
            runtime: Some(runtime),
        }
    }

    /// Stops the member in good order; returns whether everything in flight had ended.
    pub async fn stop(mut self) -> bool {
        match self.member.take() {
            Some(member) => member.stop().await,
            None => true,
        }
    }
}

impl Deref for LocalMember {
    type Target = EntryMember;

    fn deref(&self) -> &EntryMember {
        self.member
            .as_ref()
            .expect("the member is there until it is stopped")
    }
}

impl Drop for LocalMember {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}
