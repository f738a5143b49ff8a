//! Keys of the tenant that the callers belong to, which operators replace now and then.

use std::time::Duration;

use hyper::StatusCode;
use rand::{RngExt, rngs::StdRng};
use tokio::{sync::Mutex, time::Instant};

/// Part of the calls that carry the key before the present one.
const OLD_KEY_SHARE: f64 = 0.2;

/// Key of a call.
#[derive(Clone, Debug)]
pub struct DrawnKey {
    /// Text of the key.
    pub text: String,
    /// Time at which its withdrawal was confirmed, if it was before the call.
    withdrawn_at: Option<Instant>,
    sent_at: Instant,
}

#[derive(Debug, Default)]
struct RingState {
    number: u32,
    withdrawn_at: Option<Instant>,
    violations: Vec<String>,
}

/// Keys of a tenant; one counts at a time.
#[derive(Debug)]
pub struct KeyRing {
    /// Time within which a withdrawn key must be refused by every member.
    pub revocation: Duration,
    state: Mutex<RingState>,
}

fn text(number: u32) -> String {
    format!("soak-key-{number}")
}

impl KeyRing {
    /// Creates a ring with its first key.
    pub fn open(revocation: Duration) -> Self {
        let state = Mutex::default();
        Self { revocation, state }
    }

    /// Key that counts.
    pub async fn present(&self) -> String {
        text(self.state.lock().await.number)
    }

    /// Replaces the key: `publish` writes the next one to the store.
    pub async fn replace(&self, publish: impl FnOnce(&str)) {
        let mut state = self.state.lock().await;
        state.number += 1;
        publish(&text(state.number));
        state.withdrawn_at = Some(Instant::now());
    }

    /// Chooses the key of a call.
    pub async fn draw(&self, rng: &mut StdRng) -> DrawnKey {
        let state = self.state.lock().await;
        let is_old = state.number > 0 && rng.random_bool(OLD_KEY_SHARE);
        DrawnKey {
            text: text(state.number - u32::from(is_old)),
            withdrawn_at: state.withdrawn_at.filter(|_| is_old),
            sent_at: Instant::now(),
        }
    }

    /// Checks the answer to a call.
    pub async fn check(&self, key: &DrawnKey, status: StatusCode) {
        let limit = key.withdrawn_at.map(|at| at + self.revocation);
        if status.is_success() && limit.is_some_and(|limit| key.sent_at > limit) {
            let late = limit.map_or(Duration::ZERO, |limit| key.sent_at - limit);
            let violation = format!(
                "KEY: a call with {} was served, sent {late:?} after the limit",
                key.text
            );
            self.state.lock().await.violations.push(violation);
        }
    }

    /// Returns the violations so far.
    pub async fn take_violations(&self) -> Vec<String> {
        std::mem::take(&mut self.state.lock().await.violations)
    }
}
