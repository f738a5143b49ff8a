//! One exchange with the administration API.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, client::conn::http1, header};
use hyper_util::rt::TokioIo;
use serde::de::DeserializeOwned;
use tokio::{net::TcpStream, time::timeout};

use crate::error::{AnswerSnafu, Error, ReachSnafu, Result};

/// How long an exchange may take.
const EXCHANGE_LIMIT: Duration = Duration::from_secs(10);

/// Asks for a view.
pub(crate) async fn get<T: DeserializeOwned>(address: SocketAddr, path: &str) -> Result<T> {
    call(address, Method::GET, path, Bytes::new()).await
}

/// Sends a body and reads the answer, whatever its status.
pub(crate) async fn post<T: DeserializeOwned>(
    address: SocketAddr,
    path: &str,
    body: String,
) -> Result<T> {
    call(address, Method::POST, path, Bytes::from(body)).await
}

async fn call<T: DeserializeOwned>(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: Bytes,
) -> Result<T> {
    let exchange = exchange(address, method, path, body);
    let late = |_| {
        Error::from(
            ReachSnafu {
                address,
                message: "no answer in time",
            }
            .build(),
        )
    };
    let bytes = timeout(EXCHANGE_LIMIT, exchange).await.map_err(late)??;
    serde_json::from_slice(&bytes).map_err(|error| {
        AnswerSnafu {
            address,
            message: error.to_string(),
        }
        .build()
        .into()
    })
}

async fn exchange(address: SocketAddr, method: Method, path: &str, body: Bytes) -> Result<Bytes> {
    let failed = |message: String| Error::from(ReachSnafu { address, message }.build());
    let stream = TcpStream::connect(address)
        .await
        .map_err(|error| failed(error.to_string()))?;
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (mut sender, connection) = handshake.map_err(|error| failed(error.to_string()))?;
    tokio::spawn(connection);
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header(header::HOST, address.to_string())
        .body(Full::new(body))
        .map_err(|error| failed(error.to_string()))?;
    let response = sender
        .send_request(request)
        .await
        .map_err(|error| failed(error.to_string()))?;
    let collected = response.into_body().collect().await;
    Ok(collected
        .map_err(|error| failed(error.to_string()))?
        .to_bytes())
}
