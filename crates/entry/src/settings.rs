//! Settings of the daemon, in TOML.

use std::{net::SocketAddr, path::Path};

use jacinthhoist_core::{ClockTime, DataCentre, MemberName};
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, ensure};

use crate::error::{Result, SettingsReadSnafu, SettingsSyntaxSnafu, SettingsValueSnafu};

/// All settings of a member.
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
    /// Identity and addresses of the member.
    pub member: MemberSettings,
    /// Addresses of the platform's services.
    pub platform: PlatformSettings,
    /// Limits and intervals of the process.
    #[serde(default)]
    pub limits: LimitSettings,
}

/// Identity and addresses of a member.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MemberSettings {
    /// Name of the member, as in the VM list.
    pub name: MemberName,
    /// Data centre of the member.
    pub data_centre: DataCentre,
    /// Address for callers, as `ip:port`.
    pub caller_address: SocketAddr,
    /// Address for peers, as `ip:port`.
    pub peer_address: SocketAddr,
    /// Address for operators, as `ip:port`.
    pub admin_address: SocketAddr,
}

/// Addresses of the platform's services.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Address of the log service, as `ip:port`.
    pub log_address: SocketAddr,
    /// Log stream of this deployment.
    pub log_stream: String,
    /// Address of the VM list, as `ip:port`.
    pub vm_list_address: SocketAddr,
}

/// Limits and intervals of a process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LimitSettings {
    /// Number of threads that serve requests; zero selects the number of cores.
    pub threads: usize,
    /// Maximum number of connections from callers.
    pub caller_connections: u32,
    /// Timeout in milliseconds for the head of a request.
    pub head_ms: u64,
    /// Timeout in milliseconds for progress in the body of a response.
    pub body_idle_ms: u64,
    /// Timeout in milliseconds for connecting to an upstream.
    pub connect_ms: u64,
    /// Milliseconds after its last response for which a connection may carry work that is not
    /// repeatable.
    pub fresh_ms: u64,
    /// Maximum time in milliseconds for which a graceful stop waits for requests in flight.
    pub stop_ms: u64,
    /// Milliseconds between reporting that the member is not ready and closing the listener.
    pub unready_ms: u64,
    /// Milliseconds for which a draining member still serves connections and requests that were
    /// already in transit.
    pub linger_ms: u64,
    /// Maximum number of appends to the log per second.
    pub appends_per_sec: u32,
    /// Milliseconds for which an append waits for further steps to share its record.
    pub group_ms: u64,
    /// Milliseconds between reads of the VM list.
    pub vm_list_ms: u64,
    /// Milliseconds between runs of the planner.
    pub plan_ms: u64,
    /// Milliseconds for which a VM or member must be missing from the list before it is removed.
    pub missing_ms: u64,
    /// Milliseconds between heartbeats.
    pub beat_ms: u64,
    /// Milliseconds without a frame after which a peer is suspected to have failed and its
    /// connection is replaced.
    pub silent_ms: u64,
    /// Duration of a slot loan in milliseconds; zero disables loans.
    pub loan_ms: u64,
    /// Milliseconds after which an upstream ends long-running work whose lease was not renewed.
    pub lease_ms: u64,
    /// Number of records after which a new snapshot is appended.
    pub snapshot_records: u64,
    /// Seconds after which a new snapshot is appended; must be well below the log's retention time.
    pub snapshot_secs: u64,
    /// Maximum total size in bytes of the responses that are cached for repeats.
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
    /// Returns the number of threads that serve requests.
    pub fn request_threads(&self) -> usize {
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
    /// Creates settings for examples and tests, with loopback addresses and ports assigned by the
    /// operating system.
    pub fn example(name: &str) -> Self {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            member: MemberSettings {
                name: MemberName::new(name),
                data_centre: DataCentre::new("dc-1"),
                caller_address: any_port,
                peer_address: any_port,
                admin_address: any_port,
            },
            platform: PlatformSettings {
                log_address: any_port,
                log_stream: "jacinthhoist".to_owned(),
                vm_list_address: any_port,
            },
            limits: LimitSettings::default(),
        }
    }

    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// The error names the file, the key, the value found and the values allowed.
    pub fn open(path: &Path) -> Result<Self> {
        let path_text = path.display().to_string();
        let text = std::fs::read_to_string(path).context(SettingsReadSnafu {
            path: path_text.as_str(),
        })?;
        Self::parse(&path_text, &text)
    }

    /// Parses and validates the text of a settings file.
    ///
    /// # Errors
    ///
    /// The error names the file, the key, the value found and the values allowed.
    pub fn parse(path: &str, text: &str) -> Result<Self> {
        let settings: Self = toml::from_str(text).map_err(|error| {
            let message = error.to_string().trim().to_owned();
            SettingsSyntaxSnafu { path, message }.build()
        })?;
        settings.validate(path)?;
        Ok(settings)
    }

    /// Returns the settings as TOML.
    pub fn to_toml(&self) -> String {
        toml::to_string_pretty(self).unwrap_or_default()
    }

    fn validate(&self, path: &str) -> Result<()> {
        let limits = &self.limits;
        let name = self.member.name.as_str();
        let is_allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
        let is_valid = !name.is_empty() && name.len() <= 64 && name.chars().all(is_allowed);
        let remedy = "up to 64 letters, digits, `-`, `_` and `.`";
        ensure_valid(
            path,
            is_valid,
            "member.name",
            &format!("\"{name}\""),
            remedy,
        )?;
        let stream = &self.platform.log_stream;
        let is_valid = !stream.is_empty() && stream.chars().all(is_allowed);
        let remedy = "letters, digits, `-`, `_` and `.`";
        ensure_valid(
            path,
            is_valid,
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
            ensure_valid(path, value > 0, key, "0", "a number above 0")?;
        }
        let is_long_enough = limits.silent_ms >= 2 * limits.beat_ms;
        let found = limits.silent_ms.to_string();
        ensure_valid(
            path,
            is_long_enough,
            "limits.silent_ms",
            &found,
            "at least twice `limits.beat_ms`",
        )
    }
}

fn ensure_valid(
    path: &str,
    is_valid: bool,
    key: &'static str,
    found: &str,
    remedy: &'static str,
) -> Result<()> {
    ensure!(
        is_valid,
        SettingsValueSnafu {
            path,
            key,
            found,
            remedy
        }
    );
    Ok(())
}
