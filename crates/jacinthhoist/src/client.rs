//! Requests to the administration API.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, client::conn::http1, header};
use hyper_util::rt::TokioIo;
use serde::de::DeserializeOwned;
use tokio::{net::TcpStream, time::timeout};

use crate::error::{Error, Result, UnexpectedResponseSnafu, UnreachableSnafu};

/// Timeout of a request, including the connection.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Requests a view.
pub(crate) async fn get<T: DeserializeOwned>(address: SocketAddr, path: &str) -> Result<T> {
    call(address, Method::GET, path, Bytes::new()).await
}

/// Sends a body and reads the response, of any status.
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
    let timeout_error = |_| {
        Error::from(
            UnreachableSnafu {
                address,
                message: "request timed out",
            }
            .build(),
        )
    };
    let bytes = timeout(REQUEST_TIMEOUT, exchange)
        .await
        .map_err(timeout_error)??;
    serde_json::from_slice(&bytes).map_err(|error| {
        UnexpectedResponseSnafu {
            address,
            message: error.to_string(),
        }
        .build()
        .into()
    })
}

async fn exchange(address: SocketAddr, method: Method, path: &str, body: Bytes) -> Result<Bytes> {
    let request_error =
        |message: String| Error::from(UnreachableSnafu { address, message }.build());
    let stream = TcpStream::connect(address)
        .await
        .map_err(|error| request_error(error.to_string()))?;
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (mut sender, connection) = handshake.map_err(|error| request_error(error.to_string()))?;
    tokio::spawn(connection);
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header(header::HOST, address.to_string())
        .body(Full::new(body))
        .map_err(|error| request_error(error.to_string()))?;
    let response = sender
        .send_request(request)
        .await
        .map_err(|error| request_error(error.to_string()))?;
    let body = response.into_body().collect().await;
    Ok(body
        .map_err(|error| request_error(error.to_string()))?
        .to_bytes())
}
