//! `jacinthhoistd`: the entry daemon, and with `schedule` the scheduler on the users' platform.
//!
//! Exit codes: 0 after a planned stop that cut nothing, 1 where the stop reached its limit, 2 for
//! settings that cannot be used, 3 where the daemon cannot start, 4 where it was put out of the
//! members.

mod schedule;

use std::{path::PathBuf, process::ExitCode};

use bpaf::Bpaf;
use jacinthhoist_entry::{Category, EntryMember, EntrySettings, Error};
use spdlog::{Level, LevelFilter};
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Threads of the control pipe; requests have workers of their own.
const CONTROL_THREADS: usize = 2;
/// The stop reached its limit, or a second signal came.
const EXIT_CUT: u8 = 1;
/// The settings cannot be used.
const EXIT_SETTINGS: u8 = 2;
/// The daemon cannot start.
const EXIT_START: u8 = 3;
/// The daemon was put out of the members.
const EXIT_OUT: u8 = 4;

/// The entry daemon of jacinthhoist: takes callers' requests and manages the fleet.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
enum DaemonCommand {
    /// Schedules jobs on the users' platform
    #[bpaf(command)]
    Schedule {
        /// The platform's settings file; by default the one that the environment names
        #[bpaf(long, argument("FILE"))]
        settings: Option<PathBuf>,
        /// Checks the settings and exits
        #[bpaf(long, switch)]
        check: bool,
    },
    Serve(#[bpaf(external(daemon_options))] DaemonOptions),
}

#[derive(Clone, Debug, Bpaf)]
struct DaemonOptions {
    /// The settings file, in TOML
    #[bpaf(long, argument("FILE"))]
    settings: PathBuf,
    /// Checks the settings and exits
    #[bpaf(long, switch)]
    check: bool,
    /// Writes debug lines to the log
    #[bpaf(long, switch)]
    debug: bool,
}

fn main() -> ExitCode {
    match daemon_command().run() {
        DaemonCommand::Schedule { settings, check } => schedule::run(settings, check),
        DaemonCommand::Serve(options) => serve_entry(&options),
    }
}

fn serve_entry(options: &DaemonOptions) -> ExitCode {
    let level = if options.debug {
        Level::Debug
    } else {
        Level::Info
    };
    spdlog::default_logger().set_level_filter(LevelFilter::MoreSevereEqual(level));
    match start(options) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("jacinthhoistd: {error}");
            match error.category() {
                Category::Settings => ExitCode::from(EXIT_SETTINGS),
                Category::Start | Category::Platform => ExitCode::from(EXIT_START),
            }
        }
    }
}

fn start(options: &DaemonOptions) -> Result<ExitCode, Error> {
    let settings = EntrySettings::open(&options.settings)?;
    if options.check {
        println!("{}: the settings can be used", options.settings.display());
        return Ok(ExitCode::SUCCESS);
    }
    let runtime = jacinthhoist_entry::open_runtime(CONTROL_THREADS)?;
    runtime.block_on(serve(settings))
}

async fn serve(settings: EntrySettings) -> Result<ExitCode, Error> {
    let member = EntryMember::spawn(settings).await?;
    let (Ok(mut term), Ok(mut interrupt)) = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
    ) else {
        eprintln!("jacinthhoistd: signals cannot be received: raise the limits of the process");
        return Ok(ExitCode::from(EXIT_START));
    };
    tokio::select! {
        () = stop_signal(&mut term, &mut interrupt) => {}
        () = member.ended() => return Ok(ExitCode::from(EXIT_OUT)),
    }
    let stopped = tokio::select! {
        stopped = member.stop() => stopped,
        () = stop_signal(&mut term, &mut interrupt) => false,
    };
    Ok(if stopped {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(EXIT_CUT)
    })
}

async fn stop_signal(term: &mut Signal, interrupt: &mut Signal) {
    tokio::select! {
        _ = term.recv() => {}
        _ = interrupt.recv() => {}
    }
}
