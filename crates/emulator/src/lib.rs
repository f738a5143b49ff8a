//! The scheduler's members on an emulated platform, in virtual time.
//!
//! Members run their real pipes and decisions; the platform (store, workers, VMs), the callers and the
//! network between them are emulated on the same paused runtime, so that a day of half a minute takes
//! a second or less. What callers, workers and the platform saw is kept as a [`History`], over which
//! [`check`] searches for broken rules.
//!
//! ```
//! use jacinthhoist_emulator::{EmulatedDay, check, play};
//! let day = EmulatedDay::parse(r#"
//!     secs = 3
//!     [[loads]]
//!     pool = "mould"
//!     per_sec = 4.0
//!     steps = 1
//!     tasks = 3
//!     task_ms = 300
//! "#).unwrap();
//! let outcome = play(&day, 7);
//! assert!(outcome.served > 0.9, "{outcome:?}");
//! assert!(check(&outcome.history).is_empty());
//! ```
//!
//! | module | holds |
//! |---|---|
//! | `scenario` | what happens: load, faults, sizes, from TOML |
//! | `network` | calls with delays, losses and cuts, links between members |
//! | `store` | keyed topics, writers' epochs, the group |
//! | `worker` | tasks under leases |
//! | `vm` | VMs, moves, maintenance |
//! | `platform` | the scheduler's ports on these |
//! | `caller` | callers who hand jobs in, ask again and give up |
//! | `fleet` | the members' lives |
//! | `fault` | what goes wrong, and for how long |
//! | `outcome` | what callers got |
//! | `history` | what was seen |
//! | `check` | rules over a history |

mod caller;
mod check;
mod fault;
mod fleet;
mod history;
mod model;
mod network;
mod outcome;
mod platform;
mod scenario;
mod store;
mod vm;
mod worker;

pub use check::{Rule, Violation, check};
pub use fleet::{play, play_logged};
pub use history::{
    CallOutcome, EndKind, History, JobHistory, JobShape, RunHistory, VmHistory, WaveHistory,
};
pub use outcome::DayOutcome;
pub use scenario::{DayError, DayFault, DayLoad, EmulatedDay, FaultKind};
