//! Small HTTP exchanges with the platform, over one kept connection.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, client::conn::http1};
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
}

impl HttpClient {
    pub(crate) fn open(address: SocketAddr) -> Self {
        Self {
            address,
            sender: None,
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
        let address = self.address;
        let sender = self.sender.take();
        let exchange = Self::exchange_on(address, sender, method, path, body);
        let Ok(outcome) = timeout(limit, exchange).await else {
            return TimeoutSnafu { address }.fail().map_err(Into::into);
        };
        let (sender, bytes) = outcome?;
        self.sender = Some(sender);
        let decoded = serde_json::from_slice(&bytes);
        decoded.map_err(|error| {
            AnswerSnafu {
                address,
                message: error.to_string(),
            }
            .build()
            .into()
        })
    }

    async fn exchange_on(
        address: SocketAddr,
        sender: Option<http1::SendRequest<Full<Bytes>>>,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<(http1::SendRequest<Full<Bytes>>, Bytes)> {
        let mut sender = match sender {
            Some(sender) if !sender.is_closed() => sender,
            _ => connect(address).await?,
        };
        sender.ready().await.context(ExchangeSnafu { address })?;
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(hyper::header::HOST, address.to_string())
            .body(Full::new(body))
            .map_err(|error| {
                AnswerSnafu {
                    address,
                    message: error.to_string(),
                }
                .build()
            })?;
        let response = sender
            .send_request(request)
            .await
            .context(ExchangeSnafu { address })?;
        let status = response.status();
        let collected = response
            .into_body()
            .collect()
            .await
            .context(ExchangeSnafu { address })?;
        ensure!(
            status.is_success(),
            StatusSnafu {
                address,
                status: status.as_u16()
            }
        );
        Ok((sender, collected.to_bytes()))
    }
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
