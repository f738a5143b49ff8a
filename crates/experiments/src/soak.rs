//! Parts of the soaks: loopback proxies, callers and the rules that are checked.

mod callers;
mod link;
mod plan;
mod verdict;

pub use callers::{CallerLoad, CallerRecord, submit_jobs, wait_completed};
pub use link::{LinkDirection, LoopbackLink};
pub use plan::{SoakPlan, random_sequence};
pub use verdict::{check_runs, describe_run};
