//! Clients of the platform's log service and VM list.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use hyper::Method;
use jacinthhoist_codec::{AppendResponse, LogPage, VmListPage};
use jacinthhoist_core::{Offset, VmName};
use serde::Deserialize;

use crate::{error::Result, http::JsonClient};

/// Timeout for an append.
const APPEND_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for which the log service holds a read that has no new record.
const READ_WAIT_MS: u64 = 1_000;
/// Timeout for a read, including the wait for a new record.
const READ_TIMEOUT: Duration = Duration::from_secs(4);
/// Maximum number of records in a read.
const MAX_READ_RECORDS: usize = 2_000;
/// Timeout for a request to the VM list.
const LIST_TIMEOUT: Duration = Duration::from_secs(2);

/// Client of the log service for one stream.
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

    /// Appends a text. After an error, the log may still contain it.
    pub(crate) async fn append(&mut self, text: &str) -> Result<AppendResponse> {
        let path = format!("/streams/{}/records", self.stream);
        let body = Bytes::copy_from_slice(text.as_bytes());
        self.http
            .exchange(Method::POST, &path, body, APPEND_TIMEOUT)
            .await
    }

    /// Reads records from an offset on; with `wait`, the service holds the request while there is
    /// none.
    pub(crate) async fn read(&mut self, from: Offset, wait: bool) -> Result<LogPage> {
        let wait_ms = if wait { READ_WAIT_MS } else { 0 };
        let path = format!(
            "/streams/{}/records?from={from}&wait_ms={wait_ms}&limit={MAX_READ_RECORDS}",
            self.stream
        );
        self.http
            .exchange(Method::GET, &path, Bytes::new(), READ_TIMEOUT)
            .await
    }
}

/// Response without content from the platform.
#[derive(Debug, Deserialize)]
pub(crate) struct EmptyResponse {}

/// Client of the VM list.
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

    /// Fetches the list; none if it has not changed since the last read.
    pub(crate) async fn fetch_changed(&mut self) -> Result<Option<VmListPage>> {
        self.http.get_changed("/vms", LIST_TIMEOUT).await
    }

    /// Reboots a VM unless it has rebooted since the given boot, so that the request can be
    /// repeated.
    pub(crate) async fn reboot(&mut self, vm: &VmName, boot: u64) -> Result<EmptyResponse> {
        let path = format!("/vms/{vm}/reboot?boot={boot}");
        self.http
            .exchange(Method::POST, &path, Bytes::new(), LIST_TIMEOUT)
            .await
    }
}
