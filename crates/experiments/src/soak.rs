//! Parts of the soaks: loopback proxies, callers, their keys and the rules that are checked.

mod callers;
mod keys;
mod link;
mod plan;
mod verdict;

pub use callers::{CallerLoad, CallerRecord, submit_jobs, wait_completed};
pub use keys::{DrawnKey, KeyRing};
pub use link::{LinkDirection, LoopbackLink};
pub use plan::{SoakPlan, random_sequence};
pub use verdict::{check_limit, check_runs, describe_run};
