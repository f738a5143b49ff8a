//! The administration API, health, readiness and metrics on an address of their own.

mod serve;
mod views;

pub(crate) use serve::serve_operators;
