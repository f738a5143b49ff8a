//! Emulator that runs scheduler members against an emulated platform in virtual time.
//!
//! The members run their production code. The platform (store, workers, VMs), the callers and the
//! network between them are emulated on the same paused runtime, so that a scenario of half a
//! minute takes a second or less. The observations of callers, workers and the platform are
//! recorded as an [`EmulationHistory`], which [`check`] searches for violated guarantees.
//!
//! ```
//! use jacinthhoist_emulator::{EmulationScenario, check, run_scenario};
//! let scenario = EmulationScenario::parse(r#"
//!     secs = 3
//!     [[loads]]
//!     pool = "mould"
//!     per_sec = 4.0
//!     steps = 1
//!     tasks = 3
//!     task_ms = 300
//! "#).unwrap();
//! let outcome = run_scenario(&scenario, 7);
//! assert!(outcome.served > 0.9, "{outcome:?}");
//! assert!(check(&outcome.history).is_empty());
//! ```
//!
//! | module | contents |
//! |---|---|
//! | `scenario` | scenario files: sizes, loads, faults |
//! | `network` | calls with latency, loss and partitions; links between members |
//! | `store` | keyed topics, producer epochs, group membership |
//! | `worker` | workers that run tasks under leases |
//! | `vm` | VMs, moves between pools, maintenance |
//! | `platform` | the scheduler's platform interface on the emulated services |
//! | `model` | shared state of the emulated platform |
//! | `payload` | payloads, which set the behaviour of tasks |
//! | `crash` | crashes of workers by the tasks that they run |
//! | `caller` | callers that submit, poll and cancel jobs |
//! | `tenant` | tenants, their keys over time, and their limits |
//! | `question` | questions for all accepted jobs at the end of a run |
//! | `fleet` | start, stop and restart of members |
//! | `policy` | policy service that permits workers for a step |
//! | `fault` | fault injection |
//! | `flap` | the fault in which the pools change hands without the members' leave |
//! | `outcome` | service figures of a run |
//! | `history`, `check` | record of a run, and the rules that it is checked against |

mod caller;
mod check;
mod crash;
mod demand;
mod fault;
mod flap;
mod fleet;
mod history;
mod model;
mod network;
mod outcome;
mod payload;
mod platform;
mod policy;
mod question;
mod scenario;
mod store;
mod tenant;
mod vm;
mod worker;

pub use check::{HistoryRule, RuleViolation, check};
pub use demand::JobDemand;
pub use fleet::{run_scenario, run_scenario_logged};
pub use history::{
    CallOutcome, EmulationHistory, EndKind, FinalAnswer, JobHistory, JobShape, PoolSample, PoolUse,
    RunHistory, StartConditions, VmOrderHistory, WaveHistory,
};
pub use outcome::ScenarioOutcome;
pub use payload::FatalTask;
pub use policy::ScenarioPolicy;
pub use scenario::{EmulationScenario, FaultKind, ScenarioError, ScenarioFault, ScenarioLoad};
pub use tenant::{KeyedCall, LimitHistory};
