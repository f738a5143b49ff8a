//! Clients of the platform's log service and VM list.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use hyper::Method;
use jacinthhoist_codec::{AppendResponse, LogPage, VmListPage};
use jacinthhoist_core::{Offset, VmName};
use serde::Deserialize;

use crate::{error::Result, http::JsonClient};

/// How long an append may take.
const APPEND_LIMIT: Duration = Duration::from_secs(2);
/// How long a read waits for a new record.
const READ_WAIT_MS: u64 = 1_000;
/// How long a read may take in all.
const READ_LIMIT: Duration = Duration::from_secs(4);
/// Records read at once.
const READ_RECORDS: usize = 2_000;
/// How long a call of the VM list may take.
const LIST_LIMIT: Duration = Duration::from_secs(2);

/// A client of the log service for one stream.
#[derive(Debug)]
pub(crate) struct LogClient {
    http: JsonClient,
    stream: String,
}

impl LogClient {
    pub(crate) fn open(address: SocketAddr, stream: &str) -> Self {
        Self {
            http: JsonClient::open(address),
            stream: stream.to_owned(),
        }
    }

    /// Appends a text. After an error it may stand in the log all the same.
    pub(crate) async fn append(&mut self, text: &str) -> Result<AppendResponse> {
        let path = format!("/streams/{}/records", self.stream);
        let body = Bytes::copy_from_slice(text.as_bytes());
        self.http
            .exchange(Method::POST, &path, body, APPEND_LIMIT)
            .await
    }

    /// Reads records from an offset; waits a little where there is none yet.
    pub(crate) async fn read(&mut self, from: Offset, wait: bool) -> Result<LogPage> {
        let wait_ms = if wait { READ_WAIT_MS } else { 0 };
        let path = format!(
            "/streams/{}/records?from={from}&wait_ms={wait_ms}&limit={READ_RECORDS}",
            self.stream
        );
        self.http
            .exchange(Method::GET, &path, Bytes::new(), READ_LIMIT)
            .await
    }
}

/// The platform's answer to a call without content.
#[derive(Debug, Deserialize)]
pub(crate) struct Acknowledged {}

/// A client of the VM list.
#[derive(Debug)]
pub(crate) struct ListClient {
    http: JsonClient,
}

impl ListClient {
    pub(crate) fn open(address: SocketAddr) -> Self {
        Self {
            http: JsonClient::open(address),
        }
    }

    /// The list, or none where it has not changed since it was last read.
    pub(crate) async fn list_changed(&mut self) -> Result<Option<VmListPage>> {
        self.http.get_changed("/vms", LIST_LIMIT).await
    }

    /// Reboots a VM, unless it has rebooted since the boot named: repeating does no harm.
    pub(crate) async fn reboot(&mut self, vm: &VmName, boot: u64) -> Result<Acknowledged> {
        let path = format!("/vms/{vm}/reboot?boot={boot}");
        self.http
            .exchange(Method::POST, &path, Bytes::new(), LIST_LIMIT)
            .await
    }
}
