//! Entry member on a runtime of its own, so that tests can kill it like a process.

use std::ops::Deref;

use jacinthhoist_entry::{EntryMember, EntrySettings, open_runtime};
use tokio::runtime::Runtime;

/// Running member with its runtime; dropping it kills the member with its requests in flight.
pub struct LocalMember {
    member: Option<EntryMember>,
    runtime: Option<Runtime>,
}

impl LocalMember {
    /// Starts a member on a runtime with `threads` threads.
    ///
    /// # Panics
    ///
    /// Panics if a thread cannot be started or a loopback address cannot be bound.
    pub async fn spawn(settings: EntrySettings, threads: usize) -> Self {
        let runtime = open_runtime(threads).expect("the runtime starts");
        let started = runtime.spawn(EntryMember::spawn(settings)).await;
        let member = started
            .expect("the start does not panic")
            .expect("the member starts");
        Self {
            member: Some(member),
            runtime: Some(runtime),
        }
    }

    /// Stops the member gracefully; returns true if all requests in flight were finished.
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
            .expect("the member is present until it is stopped")
    }
}

impl Drop for LocalMember {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}
