//! Stand-in for the platform, its workers and its consumers, for the cases of this review.
//!
//! It speaks the published protocol over loopback, starts the members of the scheduler as separate
//! processes, brings about the disruption of one case, and checks the rule of that case by what
//! workers and consumers have seen. Only the standard library is used.

mod case;
mod http;
mod json;
mod platform;
mod store;
mod worker;

fn main() {
    let mut arguments = std::env::args().skip(1);
    let name = arguments.next().unwrap_or_default();
    let folder = arguments.next().unwrap_or_else(|| ".".to_owned());
    std::process::exit(case::run(&name, &folder));
}
