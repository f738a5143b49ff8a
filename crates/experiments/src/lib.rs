//! Local test systems on loopback addresses and load generators, for tests and measurements.
//!
//! ```no_run
//! use jacinthhoist_experiments::{FleetPlan, LocalFleet, WorkCaller};
//! # async fn example() {
//! let fleet = LocalFleet::start(FleetPlan::small()).await;
//! let response = WorkCaller::new(fleet.caller(0)).send("quote-run", "12 covers").await.unwrap();
//! assert_eq!(response.outcome, "done");
//! # }
//! ```

mod caller;
mod fleet;
mod load;
mod member;
mod process;
mod raw;
mod report;
pub mod schedule;
pub mod soak;

pub use caller::{CallerConnection, CallerError, CallerResponse, WorkCaller};
pub use fleet::{FleetPlan, LocalFleet};
pub use load::{LoadPlan, LoadSummary, run_load};
pub use member::LocalMember;
pub use process::{processor_time, resident_bytes};
pub use raw::{RawCaller, spawn_raw_upstream};
pub use report::{FigureTable, percent, ratio};
