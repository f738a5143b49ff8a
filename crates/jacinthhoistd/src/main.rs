//! `jacinthhoistd`: daemon of an entry member or, with `schedule`, of a scheduler member on the
//! users' platform.
//!
//! Exit codes: 0 after a shutdown that interrupted no request, 1 if the shutdown was interrupted or
//! reached its time limit, 2 if the settings are invalid, 3 if the daemon cannot start, and 4 if
//! the member was evicted.

mod schedule;

use std::{path::PathBuf, process::ExitCode};

use bpaf::Bpaf;
use jacinthhoist_entry::{Category, EntryMember, EntrySettings, Error};
use spdlog::{Level, LevelFilter};
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Number of threads of the control pipe; requests run on separate worker threads.
const CONTROL_THREADS: usize = 2;
/// Exit code if the shutdown reached its time limit or was interrupted by a second signal.
const EXIT_INTERRUPTED: u8 = 1;
/// Exit code if the settings are invalid.
const EXIT_SETTINGS: u8 = 2;
/// Exit code if the daemon cannot start.
const EXIT_START: u8 = 3;
/// Exit code if the member was evicted.
const EXIT_EVICTED: u8 = 4;

/// Entry daemon of jacinthhoist: accepts callers' requests and manages the fleet.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
enum DaemonCommand {
    /// Schedules jobs on the users' platform
    #[bpaf(command)]
    Schedule {
        /// The platform's settings file; defaults to the file named in the environment
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
    /// Logs at debug level
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
        println!("{}: the settings are valid", options.settings.display());
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
        eprintln!(
            "jacinthhoistd: cannot register signal handlers: raise the resource limits of the process"
        );
        return Ok(ExitCode::from(EXIT_START));
    };
    tokio::select! {
        () = wait_for_stop_signal(&mut term, &mut interrupt) => {}
        () = member.ended() => return Ok(ExitCode::from(EXIT_EVICTED)),
    }
    let completed = tokio::select! {
        completed = member.stop() => completed,
        () = wait_for_stop_signal(&mut term, &mut interrupt) => false,
    };
    Ok(if completed {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(EXIT_INTERRUPTED)
    })
}

async fn wait_for_stop_signal(term: &mut Signal, interrupt: &mut Signal) {
    tokio::select! {
        _ = term.recv() => {}
        _ = interrupt.recv() => {}
    }
}
