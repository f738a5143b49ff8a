//! Fakes of the platform services and the upstreams, for tests and experiments only.
//!
//! Each fake is a small HTTP server on a loopback address. Tests can switch on the faults that the
//! real service can have.

mod http;
mod log;
mod platform;
mod upstream;
mod vms;

pub use log::LogService;
pub use platform::{
    FakePlatform, GangTable, KeyedLog, MachineService, PolicyFigures, PolicyService, PoolWorker,
    RunRecord, StoreEndpoint, StoreFault, WorkerFault, labelled_job, long_running_job,
    repeated_job, sample_job,
};
pub use upstream::{LeaseEnds, UpstreamFault, UpstreamVm};
pub use vms::{VmEntry, VmList};
