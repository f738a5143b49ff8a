//! Scheduler member on the users' platform.
//!
//! One thread serves callers, and a second one runs everything else. A machine of the platform has
//! a fraction of a core, so further threads would only use memory.

use std::{
    net::SocketAddr,
    path::{Path, PathBuf},
    process::ExitCode,
    sync::Arc,
    thread::JoinHandle,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use jacinthhoist_platform::{
    CallerServer, HttpPlatform, METRICS_PORT, NodeSettings, SETTINGS_VARIABLE,
};
use jacinthhoist_scheduler::{CallerPipe, EventKind, EventLog, SchedulerMember};
use serde_json::json;
use tokio::{
    runtime::{Builder, Runtime},
    signal::unix::{Signal, SignalKind, signal},
    sync::oneshot,
    time::{Instant, sleep_until, timeout_at},
};

use crate::{EXIT_INTERRUPTED, EXIT_SETTINGS, EXIT_START};

/// Period in which a stopping member still accepts connections: the platform opens new ones until
/// two readiness checks, 1 s apart, have failed, and for a short time afterwards.
const SHUTDOWN_ACCEPT_PERIOD: Duration = Duration::from_millis(2_500);
/// Margin between the latest exit of the process and the end of its grace period, when the platform
/// kills it.
const KILL_MARGIN: Duration = Duration::from_millis(700);
/// Stack size of the thread that serves callers; parsing a job's body uses the most stack.
const STACK_BYTES: usize = 512 * 1024;

type BoxedError = Box<dyn std::error::Error + Send + Sync>;

/// Runs the scheduler until a termination signal arrives.
pub(crate) fn run(file: Option<PathBuf>, check: bool) -> ExitCode {
    let opened = settings_path(file).and_then(|path| Ok((NodeSettings::open(&path)?, path)));
    let (settings, path) = match opened {
        Ok(opened) => opened,
        Err(error) => {
            eprintln!("jacinthhoistd: {error}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    if check {
        println!("{}: the settings are valid", settings.node_name);
        return ExitCode::SUCCESS;
    }
    match open_runtime().map(|runtime| runtime.block_on(serve(settings, path))) {
        Ok(Ok(true)) => ExitCode::SUCCESS,
        Ok(Ok(false)) => ExitCode::from(EXIT_INTERRUPTED),
        Ok(Err(error)) | Err(error) => {
            eprintln!("jacinthhoistd: {error}");
            ExitCode::from(EXIT_START)
        }
    }
}

fn settings_path(file: Option<PathBuf>) -> Result<PathBuf, BoxedError> {
    let path = file.or_else(|| std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from));
    Ok(path.ok_or(format!(
        "no settings file: use --settings or set {SETTINGS_VARIABLE}"
    ))?)
}

fn open_runtime() -> Result<Runtime, BoxedError> {
    Ok(Builder::new_current_thread().enable_all().build()?)
}

/// Serves until a termination signal arrives; returns true if no request was interrupted.
async fn serve(settings: NodeSettings, path: PathBuf) -> Result<bool, BoxedError> {
    let mut term = signal(SignalKind::terminate())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let log = EventLog::open(&settings.node_name)?;
    let platform = Arc::new(HttpPlatform::open(&settings));
    let nonce = SystemTime::now().duration_since(UNIX_EPOCH)?.as_millis() as u64;
    let member =
        SchedulerMember::spawn(platform, settings.scheduler_settings(nonce), log.clone()).await?;
    let thread = CallerThread::spawn(member.callers(), &settings).await?;
    wait_for_stop_signal(&mut term, &mut hangup, &path, &log).await;
    let stopped_at = Instant::now();
    member.hand_over().await;
    sleep_until(stopped_at + SHUTDOWN_ACCEPT_PERIOD).await;
    let grace = Duration::from_millis(settings.stop_grace().as_millis());
    let idle = timeout_at(
        stopped_at + grace.saturating_sub(KILL_MARGIN),
        thread.wait_idle(),
    )
    .await;
    member.stop().await;
    Ok(idle.is_ok())
}

/// Waits for a termination signal.
///
/// On SIGHUP it only validates the settings file: the settings describe the location of the
/// process, which does not change while it runs, so a changed file takes effect at the next start.
async fn wait_for_stop_signal(term: &mut Signal, hangup: &mut Signal, path: &Path, log: &EventLog) {
    loop {
        tokio::select! {
            _ = term.recv() => return,
            _ = hangup.recv() => {
                let outcome = match NodeSettings::open(path) {
                    Ok(_) => "read; holds from the next start".to_owned(),
                    Err(error) => error.to_string(),
                };
                log.write(EventKind::Reload, json!({"what": "settings", "outcome": outcome}));
            }
        }
    }
}

/// Thread that serves callers.
struct CallerThread {
    idle_request: oneshot::Sender<oneshot::Sender<()>>,
    _thread: JoinHandle<()>,
}

impl CallerThread {
    /// Binds the callers' addresses in a new thread.
    async fn spawn(pipe: CallerPipe, settings: &NodeSettings) -> Result<Self, BoxedError> {
        let runtime = open_runtime()?;
        let listen = settings.listen.clone();
        let metrics = SocketAddr::new(settings.ip, METRICS_PORT);
        let (idle_request, idle_requested) = oneshot::channel::<oneshot::Sender<()>>();
        let (bind_result, bind_done) = oneshot::channel();
        let callers = async move {
            let server = match CallerServer::bind(pipe, listen.front, listen.ready, metrics).await {
                Ok(server) => server,
                Err(error) => {
                    // `spawn` waits for this result.
                    let _ = bind_result.send(Err(error));
                    return;
                }
            };
            let _ = bind_result.send(Ok(()));
            if let Ok(reply) = idle_requested.await {
                server.wait_idle().await;
                // The receiver may have timed out.
                let _ = reply.send(());
            }
            std::future::pending::<()>().await;
        };
        let thread = std::thread::Builder::new()
            .name("callers".to_owned())
            .stack_size(STACK_BYTES)
            .spawn(move || runtime.block_on(callers))?;
        bind_done.await??;
        Ok(Self {
            idle_request,
            _thread: thread,
        })
    }

    /// Waits until no request of a caller is open.
    async fn wait_idle(self) {
        let (reply, idle) = oneshot::channel();
        if self.idle_request.send(reply).is_ok() {
            // An error means that the thread has ended, and all requests with it.
            let _ = idle.await;
        }
    }
}
