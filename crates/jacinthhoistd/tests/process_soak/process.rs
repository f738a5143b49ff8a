//! Member as a process of the daemon, which gets signals.

use std::{
    fs::File,
    io,
    path::{Path, PathBuf},
    process::Stdio,
    time::Duration,
};

use tokio::{
    process::{Child, Command},
    time::timeout,
};

/// Daemon of this build; `JACINTHHOIST_SOAK_DAEMON` names another one, to compare builds.
const DAEMON: &str = env!("CARGO_BIN_EXE_jacinthhoistd");

/// Signal to a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ProcessSignal {
    Stop,
    Continue,
    Hangup,
    Terminate,
}

impl ProcessSignal {
    fn option(self) -> &'static str {
        match self {
            Self::Stop => "-STOP",
            Self::Continue => "-CONT",
            Self::Hangup => "-HUP",
            Self::Terminate => "-TERM",
        }
    }
}

/// Running process, which is killed when it is dropped.
pub(crate) struct MemberProcess {
    child: Child,
    /// Number of the process among all of the run.
    pub(crate) number: u64,
}

impl MemberProcess {
    /// Starts the daemon with a settings file; its output is appended to `log`.
    pub(crate) fn spawn(settings: &Path, log: &Path, number: u64) -> io::Result<Self> {
        let open = || File::options().create(true).append(true).open(log);
        let daemon = std::env::var_os("JACINTHHOIST_SOAK_DAEMON").unwrap_or_else(|| DAEMON.into());
        let child = Command::new(daemon)
            .args(["schedule", "--settings"])
            .arg(settings)
            .stdin(Stdio::null())
            .stdout(open()?)
            .stderr(open()?)
            .kill_on_drop(true)
            .spawn()?;
        Ok(Self { child, number })
    }

    /// Returns `true` if the process has ended by itself.
    pub(crate) fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Sends a signal unless the process has ended.
    pub(crate) async fn signal(&self, signal: ProcessSignal) {
        // The id is that of this process until its end has been waited for.
        let Some(id) = self.child.id() else {
            return;
        };
        let sent = Command::new("kill")
            .args([signal.option(), &id.to_string()])
            .status();
        sent.await.expect("the tool for signals can be started");
    }

    /// Waits for the end, and kills the process after `grace`; returns `true` if it ended before.
    pub(crate) async fn wait_end(&mut self, grace: Duration) -> bool {
        if timeout(grace, self.child.wait()).await.is_ok() {
            return true;
        }
        // Fails if the process has just ended.
        let _ = self.child.kill().await;
        false
    }
}

/// Folder with the files of one run, which is removed if no rule was broken.
pub(crate) struct RunFolder {
    pub(crate) path: PathBuf,
    is_kept: bool,
}

impl RunFolder {
    /// Opens the folder of a seed of some faults.
    pub(crate) fn open(profile: &str, seed: u64) -> io::Result<Self> {
        let chosen = std::env::var_os("JACINTHHOIST_SOAK_LOGS").map(PathBuf::from);
        let is_kept = chosen.is_some();
        let parent = chosen.unwrap_or_else(|| {
            let name = format!("process-soak-{}", std::process::id());
            PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name)
        });
        let path = parent.join(format!("{profile}-{seed}"));
        std::fs::create_dir_all(&path)?;
        Ok(Self { path, is_kept })
    }

    /// Removes the folder unless it is to be kept.
    pub(crate) fn close(self, is_clean: bool) {
        if is_clean && !self.is_kept {
            // What remains is removed with the target folder.
            let _ = std::fs::remove_dir_all(&self.path);
        }
    }
}
