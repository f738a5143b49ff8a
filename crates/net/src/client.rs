//! Small HTTP exchanges over kept connections.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use crossbeam_queue::SegQueue;
use http_body_util::{BodyExt, Full};
use hyper::{
    HeaderMap, Method, Request, StatusCode,
    client::conn::http1,
    header::{self, HeaderName, HeaderValue},
};
use hyper_util::rt::TokioIo;
use snafu::ResultExt;
use tokio::{net::TcpStream, time::timeout};

use crate::error::{ConnectSnafu, ExchangeSnafu, RequestSnafu, Result, TimeoutSnafu};

/// Time to open a connection: several times the round trip within a region.
const CONNECT_LIMIT: Duration = Duration::from_millis(500);

/// One request.
#[derive(Clone, Debug)]
pub struct HttpRequest {
    method: Method,
    path: String,
    headers: Vec<(HeaderName, HeaderValue)>,
    body: Bytes,
}

impl HttpRequest {
    /// A request without further headers.
    pub fn new(method: Method, path: impl Into<String>, body: Bytes) -> Self {
        Self {
            method,
            path: path.into(),
            headers: Vec::new(),
            body,
        }
    }

    /// Adds a header.
    pub fn header(mut self, name: HeaderName, value: HeaderValue) -> Self {
        self.headers.push((name, value));
        self
    }
}

/// What came back.
#[derive(Clone, Debug)]
pub struct HttpResponse {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub bytes: Bytes,
}

/// A client of one address that keeps one connection and replaces it when it fails.
#[derive(Debug)]
pub struct HttpClient {
    address: SocketAddr,
    host: HeaderValue,
    sender: Option<http1::SendRequest<Full<Bytes>>>,
}

impl HttpClient {
    /// A client without a connection.
    pub fn new(address: SocketAddr) -> Self {
        let host = HeaderValue::from_maybe_shared(Bytes::from(address.to_string()));
        Self {
            address,
            host: host.unwrap_or(HeaderValue::from_static("localhost")),
            sender: None,
        }
    }

    /// Sends a request and reads the whole answer within a limit, whatever its status. A connection
    /// that failed or was late is closed, so that no late answer meets a later request.
    ///
    /// # Errors
    ///
    /// The category tells whether the call may have had an effect.
    pub async fn send(&mut self, call: HttpRequest, limit: Duration) -> Result<HttpResponse> {
        let address = self.address;
        let request = self.request(call)?;
        let sender = match self.sender.take() {
            Some(sender) if !sender.is_closed() => sender,
            _ => connect_soon(address).await?,
        };
        let Ok(outcome) = timeout(limit, exchange(address, sender, request)).await else {
            return TimeoutSnafu { address }.fail().map_err(Into::into);
        };
        let (sender, answer) = outcome?;
        self.sender = Some(sender);
        Ok(answer)
    }

    fn request(&self, call: HttpRequest) -> Result<Request<Full<Bytes>>> {
        let mut builder = Request::builder().method(call.method).uri(call.path);
        if let Some(headers) = builder.headers_mut() {
            headers.insert(header::HOST, self.host.clone());
            for (name, value) in call.headers {
                headers.insert(name, value);
            }
        }
        let request = builder.body(Full::new(call.body));
        request.map_err(|error| {
            RequestSnafu {
                address: self.address,
                message: error.to_string(),
            }
            .build()
            .into()
        })
    }
}

async fn exchange(
    address: SocketAddr,
    mut sender: http1::SendRequest<Full<Bytes>>,
    request: Request<Full<Bytes>>,
) -> Result<(http1::SendRequest<Full<Bytes>>, HttpResponse)> {
    sender.ready().await.context(ExchangeSnafu { address })?;
    let response = sender
        .send_request(request)
        .await
        .context(ExchangeSnafu { address })?;
    let (head, body) = response.into_parts();
    let body = body.collect().await.context(ExchangeSnafu { address })?;
    let answer = HttpResponse {
        status: head.status,
        headers: head.headers,
        bytes: body.to_bytes(),
    };
    Ok((sender, answer))
}

/// Opens a connection within the limit of a small exchange.
async fn connect_soon(address: SocketAddr) -> Result<http1::SendRequest<Full<Bytes>>> {
    let Ok(connected) = timeout(CONNECT_LIMIT, connect(address)).await else {
        let message = "it took too long".to_owned();
        return ConnectSnafu { address, message }.fail().map_err(Into::into);
    };
    connected
}

/// Opens a connection and drives it in a task of its own; waits as long as the system does.
///
/// # Errors
///
/// No connection could be opened.
pub async fn connect(address: SocketAddr) -> Result<http1::SendRequest<Full<Bytes>>> {
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
            spdlog::debug!("[net] A connection to {address} ended: {error}.");
        }
    });
    Ok(sender)
}

/// Clients of one address for calls that may overlap; keeps those that are idle.
#[derive(Debug)]
pub struct ClientPool {
    address: SocketAddr,
    idle: SegQueue<HttpClient>,
}

impl ClientPool {
    /// A pool without connections.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            idle: SegQueue::new(),
        }
    }

    /// Makes a call on an idle client or a new one.
    ///
    /// # Errors
    ///
    /// As [`HttpClient::send`].
    pub async fn send(&self, call: HttpRequest, limit: Duration) -> Result<HttpResponse> {
        let idle = self.idle.pop();
        let mut client = idle.unwrap_or_else(|| HttpClient::new(self.address));
        let answer = client.send(call, limit).await?;
        self.idle.push(client);
        Ok(answer)
    }
}
