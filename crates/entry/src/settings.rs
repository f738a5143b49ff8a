//! The daemon's settings, in TOML.

use std::{net::SocketAddr, path::Path};

use jacinthhoist_core::{ClockTime, DataCentre, MemberName};
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, ensure};

use crate::error::{Result, SettingsReadSnafu, SettingsSyntaxSnafu, SettingsValueSnafu};

/// All settings of one member.
///
/// ```
/// use jacinthhoist_entry::EntrySettings;
/// let text = EntrySettings::example("entry-1").to_toml();
/// let settings = EntrySettings::parse("example.toml", &text).unwrap();
/// assert_eq!(settings.member.name.as_str(), "entry-1");
/// let error = EntrySettings::parse("example.toml", "[member]\nnam = 1").unwrap_err();
/// assert!(error.to_string().contains("unknown field `nam`"));
/// ```
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// Who the member is and where it listens.
    pub member: MemberSettings,
    /// Where the platform is.
    pub platform: PlatformSettings,
    /// Limits of this process.
    #[serde(default)]
    pub limits: LimitSettings,
}

/// Who a member is and where it listens.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MemberSettings {
    /// Its name, as the VM list shows it.
    pub name: MemberName,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Where callers reach it, `ip:port`.
    pub caller_address: SocketAddr,
    /// Where its peers reach it, `ip:port`.
    pub peer_address: SocketAddr,
    /// Where operators reach it, `ip:port`.
    pub admin_address: SocketAddr,
}

/// Where the platform is.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// The log service, `ip:port`.
    pub log_address: SocketAddr,
    /// The log's stream for this deployment.
    pub log_stream: String,
    /// The VM list, `ip:port`.
    pub vm_list_address: SocketAddr,
}

/// Limits of one process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LimitSettings {
    /// Threads that serve requests; zero takes the number of cores.
    pub threads: usize,
    /// Connections of callers.
    pub caller_connections: u32,
    /// Milliseconds a caller has to send a request's head.
    pub head_ms: u64,
    /// Milliseconds an answer's body may make no progress.
    pub body_idle_ms: u64,
    /// Milliseconds to connect to an upstream.
    pub connect_ms: u64,
    /// Milliseconds after an answer within which a connection carries work that may run once only.
    pub fresh_ms: u64,
    /// Milliseconds that a planned stop waits for requests in flight.
    pub stop_ms: u64,
    /// Milliseconds between turning readiness off and closing the listener.
    pub unready_ms: u64,
    /// Milliseconds for which a member that drains still answers connections and requests that
    /// were on their way to it.
    pub linger_ms: u64,
    /// Appends to the log a second.
    pub appends_per_sec: u32,
    /// Milliseconds an append waits for others to share its record.
    pub group_ms: u64,
    /// Milliseconds between reads of the VM list.
    pub vm_list_ms: u64,
    /// Milliseconds between runs of the planner.
    pub plan_ms: u64,
    /// Milliseconds a VM or member must be missing from the list before it is given up.
    pub missing_ms: u64,
    /// Milliseconds between heartbeats.
    pub beat_ms: u64,
    /// Milliseconds without a frame after which a peer is suspected and its connection replaced.
    pub silent_ms: u64,
    /// Milliseconds that lent slots stay lent; zero turns lending off.
    pub loan_ms: u64,
    /// Milliseconds after which an upstream ends long work whose lease was not renewed.
    pub lease_ms: u64,
    /// Records after which a new snapshot is appended.
    pub snapshot_records: u64,
    /// Seconds after which a new snapshot is appended; well below the log's retention.
    pub snapshot_secs: u64,
    /// Bytes of kept answers.
    pub kept_bytes: usize,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            threads: 0,
            caller_connections: 10_000,
            head_ms: 10_000,
            body_idle_ms: 30_000,
            connect_ms: 1_000,
            fresh_ms: 5_000,
            stop_ms: 60_000,
            unready_ms: 1_000,
            linger_ms: 500,
            appends_per_sec: 40,
            group_ms: 5,
            vm_list_ms: 1_000,
            plan_ms: 250,
            missing_ms: 5_000,
            beat_ms: 500,
            silent_ms: 3_000,
            loan_ms: 500,
            lease_ms: 10_000,
            snapshot_records: 2_000,
            snapshot_secs: 600,
            kept_bytes: 33_554_432,
        }
    }
}

impl LimitSettings {
    /// Threads that serve requests.
    pub fn worker_threads(&self) -> usize {
        let cores = || std::thread::available_parallelism().map_or(1, usize::from);
        if self.threads == 0 {
            cores()
        } else {
            self.threads
        }
    }

    /// Returns the time for which a VM or member must be missing from the list to be removed.
    pub fn missing_timeout(&self) -> ClockTime {
        ClockTime::from_millis(self.missing_ms)
    }
}

impl EntrySettings {
    /// Settings for examples and tests: loopback, with ports chosen by the system.
    pub fn example(name: &str) -> Self {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            member: MemberSettings {
                name: MemberName::new(name),
                data_centre: DataCentre::new("dc-1"),
                caller_address: any,
                peer_address: any,
                admin_address: any,
            },
            platform: PlatformSettings {
                log_address: any,
                log_stream: "jacinthhoist".to_owned(),
                vm_list_address: any,
            },
            limits: LimitSettings::default(),
        }
    }

    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Names the file, the key, what was found and what to write.
    pub fn open(path: &Path) -> Result<Self> {
        let shown = path.display().to_string();
        let text = std::fs::read_to_string(path).context(SettingsReadSnafu {
            path: shown.as_str(),
        })?;
        Self::parse(&shown, &text)
    }

    /// Reads and checks the text of a settings file.
    ///
    /// # Errors
    ///
    /// Names the file, the key, what was found and what to write.
    pub fn parse(path: &str, text: &str) -> Result<Self> {
        let settings: Self = toml::from_str(text).map_err(|error| {
            let message = error.to_string().trim().to_owned();
            SettingsSyntaxSnafu { path, message }.build()
        })?;
        settings.check(path)?;
        Ok(settings)
    }

    /// The settings as TOML.
    pub fn to_toml(&self) -> String {
        toml::to_string_pretty(self).unwrap_or_default()
    }

    fn check(&self, path: &str) -> Result<()> {
        let limits = &self.limits;
        let name = self.member.name.as_str();
        let plain = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
        let good = !name.is_empty() && name.len() <= 64 && name.chars().all(plain);
        let remedy = "up to 64 letters, digits, `-`, `_` and `.`";
        require(path, good, "member.name", &format!("\"{name}\""), remedy)?;
        let stream = &self.platform.log_stream;
        let good = !stream.is_empty() && stream.chars().all(plain);
        let remedy = "letters, digits, `-`, `_` and `.`";
        require(
            path,
            good,
            "platform.log_stream",
            &format!("\"{stream}\""),
            remedy,
        )?;
        let positive = [
            (
                "limits.caller_connections",
                u64::from(limits.caller_connections),
            ),
            ("limits.head_ms", limits.head_ms),
            ("limits.body_idle_ms", limits.body_idle_ms),
            ("limits.connect_ms", limits.connect_ms),
            ("limits.appends_per_sec", limits.appends_per_sec.into()),
            ("limits.vm_list_ms", limits.vm_list_ms),
            ("limits.plan_ms", limits.plan_ms),
            ("limits.beat_ms", limits.beat_ms),
            ("limits.lease_ms", limits.lease_ms),
            ("limits.snapshot_records", limits.snapshot_records),
            ("limits.snapshot_secs", limits.snapshot_secs),
        ];
        for (key, value) in positive {
            require(path, value > 0, key, "0", "a number above 0")?;
        }
        let silent = limits.silent_ms >= 2 * limits.beat_ms;
        let found = limits.silent_ms.to_string();
        require(
            path,
            silent,
            "limits.silent_ms",
            &found,
            "at least twice `limits.beat_ms`",
        )
    }
}

fn require(
    path: &str,
    holds: bool,
    key: &'static str,
    found: &str,
    remedy: &'static str,
) -> Result<()> {
    ensure!(
        holds,
        SettingsValueSnafu {
            path,
            key,
            found,
            remedy
        }
    );
    Ok(())
}
