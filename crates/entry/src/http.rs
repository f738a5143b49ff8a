//! JSON client for the platform's log and VM list, over one persistent connection.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use hyper::{
    Method, StatusCode,
    header::{self, HeaderValue},
};
use jacinthhoist_net::{HttpClient, HttpRequest, HttpResponse};
use serde::de::DeserializeOwned;
use snafu::{ResultExt, ensure};

use crate::error::{AnswerSnafu, CallSnafu, Result, StatusSnafu};

/// JSON client for one address, with conditional reads.
#[derive(Debug)]
pub(crate) struct JsonClient {
    address: SocketAddr,
    http: HttpClient,
    /// Entity tag of the last response to a conditional read.
    etag: Option<HeaderValue>,
}

impl JsonClient {
    pub(crate) fn open(address: SocketAddr) -> Self {
        Self {
            address,
            http: HttpClient::new(address),
            etag: None,
        }
    }

    /// Sends a request and decodes its JSON response within a time limit.
    pub(crate) async fn exchange<T: DeserializeOwned>(
        &mut self,
        method: Method,
        path: &str,
        body: Bytes,
        limit: Duration,
    ) -> Result<T> {
        let response = self
            .call(HttpRequest::new(method, path, body), limit)
            .await?;
        self.decode(&response.bytes)
    }

    /// Reads a path and decodes its JSON, or returns `None` if it is unchanged since the last read.
    pub(crate) async fn get_changed<T: DeserializeOwned>(
        &mut self,
        path: &str,
        limit: Duration,
    ) -> Result<Option<T>> {
        let mut request = HttpRequest::new(Method::GET, path, Bytes::new());
        if let Some(etag) = &self.etag {
            request = request.header(header::IF_NONE_MATCH, etag.clone());
        }
        let response = self.call(request, limit).await?;
        if response.status == StatusCode::NOT_MODIFIED {
            return Ok(None);
        }
        let decoded = self.decode(&response.bytes)?;
        self.etag = response.headers.get(header::ETAG).cloned();
        Ok(Some(decoded))
    }

    async fn call(&mut self, request: HttpRequest, limit: Duration) -> Result<HttpResponse> {
        let address = self.address;
        let response = self.http.send(request, limit).await.context(CallSnafu)?;
        let status = response.status;
        let expected = status.is_success() || status == StatusCode::NOT_MODIFIED;
        ensure!(
            expected,
            StatusSnafu {
                address,
                status: status.as_u16()
            }
        );
        Ok(response)
    }

    fn decode<T: DeserializeOwned>(&self, bytes: &[u8]) -> Result<T> {
        let address = self.address;
        let decoded = serde_json::from_slice(bytes);
        decoded.map_err(|error| {
            AnswerSnafu {
                address,
                message: error.to_string(),
            }
            .build()
            .into()
        })
    }
}
