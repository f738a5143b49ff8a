//! Administration API, health, readiness and metrics, served on a separate address.

mod serve;
mod views;

pub(crate) use serve::serve_operators;
