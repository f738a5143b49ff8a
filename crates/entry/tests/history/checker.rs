//! Checks a history of calls against the number of runs counted by the upstreams.

use std::collections::BTreeMap;

/// Result of a call.
#[derive(Clone, Debug)]
pub(crate) enum CallResult {
    /// Complete response.
    Answered {
        outcome: String,
        status: u16,
        text: String,
    },
    /// No complete response, so the caller does not know the outcome.
    Broken,
}

/// Call with its result.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub(crate) work: String,
    pub(crate) body: String,
    /// Id by which the upstreams count runs; equal to the idempotency key, if any.
    pub(crate) order: String,
    pub(crate) keyed: bool,
    pub(crate) result: CallResult,
}

/// All calls, and the number of runs of each order.
#[derive(Clone, Debug, Default)]
pub(crate) struct History {
    pub(crate) calls: Vec<Call>,
    pub(crate) runs: BTreeMap<String, u32>,
}

impl History {
    /// Returns an error if the history violates a guarantee to the callers.
    pub(crate) fn check(&self) -> Result<(), String> {
        self.calls
            .iter()
            .try_for_each(|call| self.check_call(call))?;
        self.check_keys()
    }

    fn check_call(&self, call: &Call) -> Result<(), String> {
        let runs = self.runs.get(&call.order).copied().unwrap_or(0);
        if call.work == "pour-order" && runs > 1 {
            return Err(format!("{} ran {runs} times", call.order));
        }
        let CallResult::Answered {
            outcome,
            status,
            text,
        } = &call.result
        else {
            return Ok(());
        };
        match outcome.as_str() {
            "done" if *status == 200 && *text != format!("ran: {}", call.body) => Err(format!(
                "{} got the response to another request: {text}",
                call.order
            )),
            "done" | "failed" if runs == 0 => Err(format!(
                "{} was reported as {outcome} but never ran",
                call.order
            )),
            "not-run" if runs > 0 && !call.keyed => Err(format!(
                "{} was reported as not run but ran {runs} times",
                call.order
            )),
            "done" | "failed" | "not-run" | "unknown" => Ok(()),
            other => Err(format!("{} has no outcome: {other}", call.order)),
        }
    }

    /// Checks that a key did not run if all of its calls were reported as not run.
    fn check_keys(&self) -> Result<(), String> {
        let mut all_not_run_by_key: BTreeMap<&str, bool> = BTreeMap::new();
        for call in self.calls.iter().filter(|call| call.keyed) {
            let not_run = matches!(
                &call.result,
                CallResult::Answered { outcome, .. } if outcome == "not-run"
            );
            *all_not_run_by_key.entry(&call.order).or_insert(true) &= not_run;
        }
        for (order, all_not_run) in all_not_run_by_key {
            if all_not_run && self.runs.contains_key(order) {
                return Err(format!(
                    "{order}: every call was reported as not run, but it ran"
                ));
            }
        }
        Ok(())
    }

    /// Returns the number of calls for each outcome or refusal reason.
    pub(crate) fn summary(&self) -> String {
        let mut counts: BTreeMap<&str, u32> = BTreeMap::new();
        for call in &self.calls {
            let outcome = match &call.result {
                CallResult::Answered { outcome, text, .. } => reason(text).unwrap_or(outcome),
                CallResult::Broken => "broken",
            };
            *counts.entry(outcome).or_default() += 1;
        }
        format!("{} calls, {counts:?}", self.calls.len())
    }
}

/// Returns the reason in the body of a refusal, if any.
fn reason(text: &str) -> Option<&str> {
    let (_, rest) = text.split_once("\"reason\":\"")?;
    rest.split('"').next()
}
