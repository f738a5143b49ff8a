//! The daemon as a separate process: validation of settings, a request and a shutdown.

use std::{
    io::{BufRead, BufReader},
    net::SocketAddr,
    path::PathBuf,
    process::{Child, Command, Output, Stdio},
};

use jacinthhoist_entry::EntrySettings;
use jacinthhoist_experiments::WorkCaller;
use jacinthhoist_fakes::{FakePlatform, LogService, VmList};

const DAEMON: &str = env!("CARGO_BIN_EXE_jacinthhoistd");

fn write(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).unwrap();
    path
}

fn check(name: &str, text: &str) -> Output {
    let path = write(name, text);
    Command::new(DAEMON)
        .arg("--check")
        .arg("--settings")
        .arg(path)
        .output()
        .unwrap()
}

#[test]
fn errors_in_settings_name_the_file_the_key_and_a_remedy() {
    let good = EntrySettings::example("entry-1").to_toml();
    assert!(check("good.toml", &good).status.success());
    let cases = [
        (
            "unknown.toml",
            good.replace("beat_ms", "beet_ms"),
            "unknown field `beet_ms`",
        ),
        (
            "value.toml",
            good.replace("beat_ms = 500", "beat_ms = 0"),
            "`limits.beat_ms` is 0: write a number above 0",
        ),
        (
            "name.toml",
            good.replace("\"entry-1\"", "\"entry 1\""),
            "`member.name` is \"entry 1\": write up to 64 letters",
        ),
        (
            "missing.toml",
            good.replace("log_stream", "stream"),
            "unknown field `stream`",
        ),
        (
            "address.toml",
            good.replace("\"127.0.0.1:0\"", "\"here\""),
            "invalid socket address",
        ),
    ];
    for (name, text, expected) in cases {
        let output = check(name, &text);
        let message = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(2), "{message}");
        assert!(
            message.contains(expected) && message.contains(name),
            "{message}"
        );
    }
}

/// Daemon process that is killed if the test ends before the daemon.
struct DaemonProcess(Child);

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        // Fails if the process has already ended, which is the normal case.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Starts a daemon and reads the callers' address from its log.
fn start(settings: &EntrySettings) -> (DaemonProcess, SocketAddr) {
    let path = write("run.toml", &settings.to_toml());
    let mut child = Command::new(DAEMON)
        .arg("--settings")
        .arg(path)
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let output = child.stdout.take().unwrap();
    let daemon = DaemonProcess(child);
    for line in BufReader::new(output).lines() {
        let line = line.unwrap();
        if let Some((_, address)) = line.split_once("listens for callers on ") {
            return (daemon, address.trim_end_matches('.').parse().unwrap());
        }
    }
    panic!("the daemon did not log the callers' address");
}

/// Regression test: on SIGHUP a scheduler that was started with `--settings` looked for its settings
/// elsewhere. A malformed file is reported with its path, and the process goes on.
#[tokio::test(flavor = "multi_thread")]
async fn a_malformed_settings_file_does_not_stop_a_running_scheduler() {
    let platform = FakePlatform::spawn(&[], 0).await.unwrap();
    let store = platform.store.address();
    let settings = platform.settings("front-1", [0, 0, 0], store);
    // The port of the metrics is fixed; another address keeps it free for other processes.
    let settings = settings.replace("ip = \"127.0.0.1\"", "ip = \"127.0.31.7\"");
    let path = write("node.toml", &settings);
    let mut child = Command::new(DAEMON)
        .args(["schedule", "--settings"])
        .arg(&path)
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let output = BufReader::new(child.stdout.take().unwrap());
    let mut daemon = DaemonProcess(child);
    let pid = daemon.0.id().to_string();
    let send = |signal: &str| {
        let sent = Command::new("kill").args([signal, &pid]).status();
        assert!(sent.unwrap().success());
    };
    let mut lines = output.lines().map(Result::unwrap);
    let mut next_line = |event: &str| {
        let event = format!("\"event\":\"{event}\"");
        let line = lines.find(|line| line.contains(&event));
        line.expect("the daemon logs the event")
    };
    next_line("start");
    for (text, expected) in [
        ("node_name = 7", "node.toml"),
        (settings.as_str(), "holds from the next start"),
    ] {
        write("node.toml", text);
        send("-HUP");
        let line = next_line("reload");
        assert!(line.contains(expected), "{line}");
    }
    assert!(daemon.0.try_wait().unwrap().is_none(), "it still runs");
    send("-TERM");
    assert_eq!(daemon.0.wait().unwrap().code(), Some(0));
}

#[tokio::test(flavor = "multi_thread")]
async fn daemon_responds_and_shuts_down_cleanly_on_sigterm() {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let log = LogService::bind(any).await.unwrap();
    let list = VmList::bind(any).await.unwrap();
    let mut settings = EntrySettings::example("entry-1");
    settings.platform.log_address = log.address();
    settings.platform.vm_list_address = list.address();
    settings.limits.unready_ms = 0;
    let (mut daemon, caller) = start(&settings);
    let response = WorkCaller::new(caller)
        .send("quote-run", "a")
        .await
        .unwrap();
    assert_eq!(
        response.outcome, "not-run",
        "the member has no catalogue yet"
    );
    let pid = daemon.0.id().to_string();
    assert!(
        Command::new("kill")
            .args(["-TERM", &pid])
            .status()
            .unwrap()
            .success()
    );
    let ended = tokio::task::spawn_blocking(move || daemon.0.wait().unwrap())
        .await
        .unwrap();
    assert_eq!(ended.code(), Some(0));
    let texts = log.texts().await;
    let joined = texts.iter().any(|text| text.contains("\"step\":\"join\""));
    let left = texts.iter().any(|text| text.contains("\"step\":\"leave\""));
    assert_eq!(joined, left, "a member that joined must leave: {texts:?}");
}
