//! What a history of calls must look like against the upstreams' own counts.

use std::collections::BTreeMap;

/// How a call ended.
#[derive(Clone, Debug)]
pub(crate) enum CallEnd {
    /// With a whole answer.
    Answered {
        outcome: String,
        status: u16,
        text: String,
    },
    /// Without one: the caller knows nothing.
    Broken,
}

/// One call.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub(crate) work: String,
    pub(crate) body: String,
    /// The name under which the upstreams count runs; the key, where there is one.
    pub(crate) order: String,
    pub(crate) keyed: bool,
    pub(crate) end: CallEnd,
}

/// All calls, and how often each order ran.
#[derive(Clone, Debug, Default)]
pub(crate) struct History {
    pub(crate) calls: Vec<Call>,
    pub(crate) runs: BTreeMap<String, u32>,
}

impl History {
    /// Whether every promise to the callers was kept.
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
        let CallEnd::Answered {
            outcome,
            status,
            text,
        } = &call.end
        else {
            return Ok(());
        };
        match outcome.as_str() {
            "done" if *status == 200 && *text != format!("ran: {}", call.body) => Err(format!(
                "{} got the answer of another request: {text}",
                call.order
            )),
            "done" | "failed" if runs == 0 => {
                Err(format!("{} is {outcome} and never ran", call.order))
            }
            "not-run" if runs > 0 && !call.keyed => Err(format!(
                "{} was called not run and ran {runs} times",
                call.order
            )),
            "done" | "failed" | "not-run" | "unknown" => Ok(()),
            other => Err(format!("{} has no outcome: {other}", call.order)),
        }
    }

    /// A key whose calls were all refused as not run did not run at all.
    fn check_keys(&self) -> Result<(), String> {
        let mut refused: BTreeMap<&str, bool> = BTreeMap::new();
        for call in self.calls.iter().filter(|call| call.keyed) {
            let not_run =
                matches!(&call.end, CallEnd::Answered { outcome, .. } if outcome == "not-run");
            *refused.entry(&call.order).or_insert(true) &= not_run;
        }
        for (order, all_refused) in refused {
            if all_refused && self.runs.contains_key(order) {
                return Err(format!(
                    "{order}: every call was called not run, and it ran"
                ));
            }
        }
        Ok(())
    }

    /// Outcomes by number.
    pub(crate) fn summary(&self) -> String {
        let mut counts: BTreeMap<&str, u32> = BTreeMap::new();
        for call in &self.calls {
            let outcome = match &call.end {
                CallEnd::Answered { outcome, text, .. } => reason(text).unwrap_or(outcome),
                CallEnd::Broken => "broken",
            };
            *counts.entry(outcome).or_default() += 1;
        }
        format!("{} calls, {counts:?}", self.calls.len())
    }
}

/// The reason that a refusal's body names.
fn reason(text: &str) -> Option<&str> {
    let (_, rest) = text.split_once("\"reason\":\"")?;
    rest.split('"').next()
}
