//! The scheduler on the users' platform.
//!
//! Two threads: one serves callers, the other runs everything else. A machine of the platform has a
//! fraction of a core, so more would only cost memory.

use std::{
    net::SocketAddr,
    path::PathBuf,
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

use crate::{EXIT_CUT, EXIT_SETTINGS, EXIT_START};

/// How long a member that stops goes on taking connections: the platform sends new ones for two
/// looks at its readiness, a second apart, and a little longer.
const LINGER: Duration = Duration::from_millis(2_500);
/// Time before the platform's kill at which the process ends by itself.
const KILL_MARGIN: Duration = Duration::from_millis(700);
/// Stack of the thread that serves callers; its deepest use is reading a job's body.
const STACK_BYTES: usize = 512 * 1024;

type BoxedError = Box<dyn std::error::Error + Send + Sync>;

/// Runs the scheduler until it is told to stop.
pub(crate) fn run(file: Option<PathBuf>, check: bool) -> ExitCode {
    let settings = match open_settings(file) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("jacinthhoistd: {error}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    if check {
        println!("{}: the settings can be used", settings.node_name);
        return ExitCode::SUCCESS;
    }
    match open_runtime().map(|runtime| runtime.block_on(serve(settings))) {
        Ok(Ok(true)) => ExitCode::SUCCESS,
        Ok(Ok(false)) => ExitCode::from(EXIT_CUT),
        Ok(Err(error)) | Err(error) => {
            eprintln!("jacinthhoistd: {error}");
            ExitCode::from(EXIT_START)
        }
    }
}

fn open_settings(file: Option<PathBuf>) -> Result<NodeSettings, BoxedError> {
    let named = file.or_else(|| std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from));
    let path = named.ok_or(format!(
        "no settings file: use --settings or set {SETTINGS_VARIABLE}"
    ))?;
    Ok(NodeSettings::open(&path)?)
}

fn open_runtime() -> Result<Runtime, BoxedError> {
    Ok(Builder::new_current_thread().enable_all().build()?)
}

/// Serves until the signal to stop; true where nothing was cut.
async fn serve(settings: NodeSettings) -> Result<bool, BoxedError> {
    let mut term = signal(SignalKind::terminate())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let log = EventLog::open(&settings.node_name)?;
    let platform = Arc::new(HttpPlatform::open(&settings));
    let nonce = SystemTime::now().duration_since(UNIX_EPOCH)?.as_millis() as u64;
    let member =
        SchedulerMember::spawn(platform, settings.scheduler_settings(nonce), log.clone()).await?;
    let front = FrontThread::spawn(member.callers(), &settings).await?;
    stop_signal(&mut term, &mut hangup, &log).await;
    let stopped_at = Instant::now();
    member.hand_over().await;
    sleep_until(stopped_at + LINGER).await;
    let grace = Duration::from_millis(settings.stop_grace().as_millis());
    let idle = timeout_at(stopped_at + grace.saturating_sub(KILL_MARGIN), front.idle()).await;
    member.stop().await;
    Ok(idle.is_ok())
}

/// Waits for the signal to stop. The settings say where the process stands, which does not change
/// in its life; a file that changed is read again by the next life.
async fn stop_signal(term: &mut Signal, hangup: &mut Signal, log: &EventLog) {
    loop {
        tokio::select! {
            _ = term.recv() => return,
            _ = hangup.recv() => {
                let outcome = match open_settings(None) {
                    Ok(_) => "read; holds from the next start".to_owned(),
                    Err(error) => error.to_string(),
                };
                log.write(EventKind::Reload, json!({"what": "settings", "outcome": outcome}));
            }
        }
    }
}

/// The thread that serves callers.
struct FrontThread {
    wait_idle: oneshot::Sender<oneshot::Sender<()>>,
    _thread: JoinHandle<()>,
}

impl FrontThread {
    /// Binds the callers' addresses on a thread of their own.
    async fn spawn(pipe: CallerPipe, settings: &NodeSettings) -> Result<Self, BoxedError> {
        let runtime = open_runtime()?;
        let listen = settings.listen.clone();
        let metrics = SocketAddr::new(settings.ip, METRICS_PORT);
        let (wait_idle, asked) = oneshot::channel::<oneshot::Sender<()>>();
        let (bound, is_bound) = oneshot::channel();
        let callers = async move {
            let server = match CallerServer::bind(pipe, listen.front, listen.ready, metrics).await {
                Ok(server) => server,
                Err(error) => {
                    // The daemon waits for this word.
                    let _ = bound.send(Err(error));
                    return;
                }
            };
            let _ = bound.send(Ok(()));
            if let Ok(reply) = asked.await {
                server.wait_idle().await;
                // The one who asked may have given up.
                let _ = reply.send(());
            }
            std::future::pending::<()>().await;
        };
        let thread = std::thread::Builder::new()
            .name("callers".to_owned())
            .stack_size(STACK_BYTES)
            .spawn(move || runtime.block_on(callers))?;
        is_bound.await??;
        Ok(Self {
            wait_idle,
            _thread: thread,
        })
    }

    /// Waits until no caller's request is open.
    async fn idle(self) {
        let (reply, idle) = oneshot::channel();
        if self.wait_idle.send(reply).is_ok() {
            // An error means that the thread has ended, and with it all requests.
            let _ = idle.await;
        }
    }
}
