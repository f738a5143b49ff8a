//! Small JSON exchanges with the platform's log and VM list, over one kept connection.

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

/// A client of one address that speaks JSON and remembers what it has read.
#[derive(Debug)]
pub(crate) struct JsonClient {
    address: SocketAddr,
    http: HttpClient,
    /// The tag of the last answer that may be asked for again.
    tag: Option<HeaderValue>,
}

impl JsonClient {
    pub(crate) fn open(address: SocketAddr) -> Self {
        Self {
            address,
            http: HttpClient::new(address),
            tag: None,
        }
    }

    /// Sends a request and reads the JSON answer within a limit.
    pub(crate) async fn exchange<T: DeserializeOwned>(
        &mut self,
        method: Method,
        path: &str,
        body: Bytes,
        limit: Duration,
    ) -> Result<T> {
        let answer = self
            .call(HttpRequest::new(method, path, body), limit)
            .await?;
        self.decode(&answer.bytes)
    }

    /// Reads a path's JSON answer, or none where it has not changed since the last time.
    pub(crate) async fn get_changed<T: DeserializeOwned>(
        &mut self,
        path: &str,
        limit: Duration,
    ) -> Result<Option<T>> {
        let mut call = HttpRequest::new(Method::GET, path, Bytes::new());
        if let Some(tag) = &self.tag {
            call = call.header(header::IF_NONE_MATCH, tag.clone());
        }
        let answer = self.call(call, limit).await?;
        if answer.status == StatusCode::NOT_MODIFIED {
            return Ok(None);
        }
        let decoded = self.decode(&answer.bytes)?;
        self.tag = answer.headers.get(header::ETAG).cloned();
        Ok(Some(decoded))
    }

    async fn call(&mut self, call: HttpRequest, limit: Duration) -> Result<HttpResponse> {
        let address = self.address;
        let answer = self.http.send(call, limit).await.context(CallSnafu)?;
        let status = answer.status;
        let good = status.is_success() || status == StatusCode::NOT_MODIFIED;
        ensure!(
            good,
            StatusSnafu {
                address,
                status: status.as_u16()
            }
        );
        Ok(answer)
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
