//! Small HTTP exchanges with the platform, over one kept connection.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{
    Method, Request, StatusCode,
    client::conn::http1,
    header::{self, HeaderValue},
};
use hyper_util::rt::TokioIo;
use serde::de::DeserializeOwned;
use snafu::{ResultExt, ensure};
use tokio::{net::TcpStream, time::timeout};

use crate::error::{AnswerSnafu, ConnectSnafu, ExchangeSnafu, Result, StatusSnafu, TimeoutSnafu};

/// A client of one address that keeps one connection and replaces it when it fails.
#[derive(Debug)]
pub(crate) struct HttpClient {
    address: SocketAddr,
    sender: Option<http1::SendRequest<Full<Bytes>>>,
    /// The tag of the last answer that may be asked for again.
    tag: Option<HeaderValue>,
}

impl HttpClient {
    pub(crate) fn open(address: SocketAddr) -> Self {
        Self {
            address,
            sender: None,
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
        let answer = self.bytes(method, path, body, limit).await?;
        self.decode(&answer.bytes)
    }

    /// Reads a path's JSON answer, or none where it has not changed since the last time.
    pub(crate) async fn get_changed<T: DeserializeOwned>(
        &mut self,
        path: &str,
        limit: Duration,
    ) -> Result<Option<T>> {
        let answer = self.bytes(Method::GET, path, Bytes::new(), limit).await?;
        if answer.status == StatusCode::NOT_MODIFIED {
            return Ok(None);
        }
        let decoded = self.decode(&answer.bytes)?;
        self.tag = answer.tag;
        Ok(Some(decoded))
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

    async fn bytes(
        &mut self,
        method: Method,
        path: &str,
        body: Bytes,
        limit: Duration,
    ) -> Result<HttpAnswer> {
        let address = self.address;
        let sender = self.sender.take();
        let mut request = Request::builder()
            .method(method)
            .uri(path)
            .header(header::HOST, address.to_string());
        if let Some(tag) = &self.tag {
            request = request.header(header::IF_NONE_MATCH, tag);
        }
        let request = request.body(Full::new(body)).map_err(|error| {
            AnswerSnafu {
                address,
                message: error.to_string(),
            }
            .build()
        })?;
        let exchange = Self::exchange_on(address, sender, request);
        let Ok(outcome) = timeout(limit, exchange).await else {
            return TimeoutSnafu { address }.fail().map_err(Into::into);
        };
        let (sender, answer) = outcome?;
        self.sender = Some(sender);
        Ok(answer)
    }

    async fn exchange_on(
        address: SocketAddr,
        sender: Option<http1::SendRequest<Full<Bytes>>>,
        request: Request<Full<Bytes>>,
    ) -> Result<(http1::SendRequest<Full<Bytes>>, HttpAnswer)> {
        let mut sender = match sender {
            Some(sender) if !sender.is_closed() => sender,
            _ => connect(address).await?,
        };
        sender.ready().await.context(ExchangeSnafu { address })?;
        let response = sender
            .send_request(request)
            .await
            .context(ExchangeSnafu { address })?;
        let status = response.status();
        let tag = response.headers().get(header::ETAG).cloned();
        let collected = response
            .into_body()
            .collect()
            .await
            .context(ExchangeSnafu { address })?;
        let good = status.is_success() || status == StatusCode::NOT_MODIFIED;
        ensure!(
            good,
            StatusSnafu {
                address,
                status: status.as_u16()
            }
        );
        Ok((
            sender,
            HttpAnswer {
                status,
                tag,
                bytes: collected.to_bytes(),
            },
        ))
    }
}

/// What came back.
struct HttpAnswer {
    status: StatusCode,
    tag: Option<HeaderValue>,
    bytes: Bytes,
}

/// Opens a connection and drives it in a task of its own.
pub(crate) async fn connect(address: SocketAddr) -> Result<http1::SendRequest<Full<Bytes>>> {
    let failed = |message: String| ConnectSnafu { address, message }.build();
    let stream = TcpStream::connect(address)
        .await
        .map_err(|error| failed(error.to_string()))?;
    stream
        .set_nodelay(true)
        .map_err(|error| failed(error.to_string()))?;
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (sender, connection) = handshake.map_err(|error| failed(error.to_string()))?;
    tokio::spawn(async move {
        if let Err(error) = connection.await {
            spdlog::debug!("[request] A connection to {address} ended: {error}.");
        }
    });
    Ok(sender)
}
