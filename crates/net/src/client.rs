//! HTTP/1.1 client for short requests over persistent connections.

use std::{future::Future, net::SocketAddr, pin::pin, time::Duration};

use bytes::{Bytes, BytesMut};
use crossbeam_queue::SegQueue;
use futures::{StreamExt, stream::FuturesUnordered};
use http_body_util::{BodyExt, Full};
use hyper::{
    HeaderMap, Method, Request, Response, StatusCode,
    body::Incoming,
    client::conn::http1,
    header::{self, HeaderName, HeaderValue},
};
use hyper_util::rt::TokioIo;
use snafu::ResultExt;
use tokio::{
    net::TcpStream,
    time::{Instant, sleep_until, timeout},
};

use crate::{
    clock::SendExpiry,
    error::{
        Category, ConnectSnafu, ExchangeSnafu, ExpiredSnafu, RequestSnafu, Result, TimeoutSnafu,
    },
    stream::{ExpiringStream, RequestWrite},
};

/// Timeout for opening a connection: several times the round-trip time within a region.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// An HTTP request.
#[derive(Clone, Debug)]
pub struct HttpRequest {
    method: Method,
    path: String,
    headers: Vec<(HeaderName, HeaderValue)>,
    body: Bytes,
    expiry: Option<SendExpiry>,
    part_limit: Option<Duration>,
}

impl HttpRequest {
    /// Creates a request without additional headers.
    pub fn new(method: Method, path: impl Into<String>, body: Bytes) -> Self {
        Self {
            method,
            path: path.into(),
            headers: Vec::new(),
            body,
            expiry: None,
            part_limit: None,
        }
    }

    /// Sets a time after which the request is not sent any more, as when a connection could not be
    /// opened or the process was suspended until then.
    pub fn expires(mut self, expiry: SendExpiry) -> Self {
        self.expiry = Some(expiry);
        self
    }

    /// Sets a limit on the wait for each part of the response's body. The time limit of the request
    /// then covers only its head, so that a body of any size can be read over a slow link.
    pub fn part_limit(mut self, limit: Duration) -> Self {
        self.part_limit = Some(limit);
        self
    }

    /// Adds a header.
    pub fn header(mut self, name: HeaderName, value: HeaderValue) -> Self {
        self.headers.push((name, value));
        self
    }
}

/// An HTTP response with its complete body.
#[derive(Clone, Debug)]
pub struct HttpResponse {
    /// Status code.
    pub status: StatusCode,
    /// Response headers.
    pub headers: HeaderMap,
    /// Complete body.
    pub bytes: Bytes,
}

/// Client of one address that keeps one connection and replaces it after a failure.
#[derive(Debug)]
pub struct HttpClient {
    address: SocketAddr,
    host: HeaderValue,
    connection: Option<HttpConnection>,
}

/// Open connection, with the progress of the request that is sent on it.
#[derive(Debug)]
struct HttpConnection {
    sender: http1::SendRequest<Full<Bytes>>,
    write: RequestWrite,
}

impl HttpClient {
    /// Creates a client that connects on its first request.
    pub fn new(address: SocketAddr) -> Self {
        let host = HeaderValue::from_maybe_shared(Bytes::from(address.to_string()));
        Self {
            address,
            host: host.unwrap_or(HeaderValue::from_static("localhost")),
            connection: None,
        }
    }

    /// Sends a request and reads the complete response, of any status. The limit covers the wait for the head of the
    /// response and then the one for its body, but not the time before this process begins to write the request.
    ///
    /// A connection that failed or timed out is closed, so that a late response is not matched to a
    /// later request.
    ///
    /// # Errors
    ///
    /// The category of the error tells whether the request may have had an effect.
    pub async fn send(&mut self, request: HttpRequest, limit: Duration) -> Result<HttpResponse> {
        let (connection, response) = self.open(request, limit).await?.read().await?;
        self.connection = Some(connection);
        Ok(response)
    }

    /// Sends a request and waits for the head of its response.
    async fn open(&mut self, request: HttpRequest, limit: Duration) -> Result<OpenResponse> {
        let connection = match self.connection.take() {
            Some(connection) if !connection.sender.is_closed() => connection,
            _ => connect_with_timeout(self.address).await?,
        };
        self.open_on(connection, request, limit).await
    }

    /// Sends a request on an open connection and waits for the head of its response.
    async fn open_on(
        &self,
        connection: HttpConnection,
        request: HttpRequest,
        limit: Duration,
    ) -> Result<OpenResponse> {
        let (address, expiry, part_limit) = (self.address, request.expiry, request.part_limit);
        let request = self.build_request(request)?;
        let write = connection.write.clone();
        write.begin(expiry);
        let mut head = pin!(exchange(address, connection, request, expiry));
        let (connection, response) = tokio::select! {
            biased;
            answered = &mut head => answered,
            () = write.offered() => within(address, limit, head).await,
        }?;
        Ok(OpenResponse {
            address,
            connection,
            response,
            limit,
            part_limit,
        })
    }

    fn build_request(&self, request: HttpRequest) -> Result<Request<Full<Bytes>>> {
        let mut builder = Request::builder().method(request.method).uri(request.path);
        if let Some(headers) = builder.headers_mut() {
            headers.insert(header::HOST, self.host.clone());
            for (name, value) in request.headers {
                headers.insert(name, value);
            }
        }
        let request = builder.body(Full::new(request.body));
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

/// One connection to a server, which is never replaced: it ends with the process that has accepted it, so that
/// no request on it reaches a later process at the address.
///
/// ```no_run
/// # async fn example() -> jacinthhoist_net::Result<()> {
/// use std::time::Duration;
/// use bytes::Bytes;
/// use hyper::Method;
/// use jacinthhoist_net::{HttpRequest, PinnedClient};
/// let request = HttpRequest::new(Method::GET, "/v1/ready", Bytes::new());
/// let limit = Duration::from_millis(250);
/// let client = PinnedClient::open("127.0.0.1:7000".parse().unwrap()).await?;
/// let (client, first) = client.send(request.clone(), limit).await?;
/// let (_, second) = client.send(request, limit).await?;
/// assert_eq!(first.status, second.status, "of the same process");
/// # Ok(())
/// # }
/// ```
#[derive(Debug)]
pub struct PinnedClient {
    client: HttpClient,
    connection: HttpConnection,
}

impl PinnedClient {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// The connection could not be opened.
    pub async fn open(address: SocketAddr) -> Result<Self> {
        let connection = connect_with_timeout(address).await?;
        let client = HttpClient::new(address);
        Ok(Self { client, connection })
    }

    /// Returns whether the connection is not known to have ended.
    pub fn is_open(&self) -> bool {
        !self.connection.sender.is_closed()
    }

    /// Sends a request and reads the complete response, of any status, within a time limit. The
    /// connection is closed if that fails.
    ///
    /// # Errors
    ///
    /// The category of the error tells whether the request may have had an effect.
    pub async fn send(self, request: HttpRequest, limit: Duration) -> Result<(Self, HttpResponse)> {
        let Self { client, connection } = self;
        let open = client.open_on(connection, request, limit).await?;
        let (connection, response) = open.read().await?;
        Ok((Self { client, connection }, response))
    }
}

/// Response whose body has not been read.
struct OpenResponse {
    address: SocketAddr,
    connection: HttpConnection,
    response: Response<Incoming>,
    limit: Duration,
    part_limit: Option<Duration>,
}

impl OpenResponse {
    /// Reads the body to its end.
    async fn read(self) -> Result<(HttpConnection, HttpResponse)> {
        let address = self.address;
        let (parts, body) = self.response.into_parts();
        let bytes = match self.part_limit {
            Some(part_limit) => read_parts(address, body, part_limit).await?,
            None => {
                let body = async {
                    let body = body.collect().await.context(ExchangeSnafu { address })?;
                    Ok(body.to_bytes())
                };
                within(address, self.limit, body).await?
            }
        };
        let response = HttpResponse {
            status: parts.status,
            headers: parts.headers,
            bytes,
        };
        Ok((self.connection, response))
    }
}

/// Sends a request and waits for the head of its response.
async fn exchange(
    address: SocketAddr,
    mut connection: HttpConnection,
    request: Request<Full<Bytes>>,
    expiry: Option<SendExpiry>,
) -> Result<(HttpConnection, Response<Incoming>)> {
    let ready = connection.sender.ready().await;
    ready.context(ExchangeSnafu { address })?;
    if expiry.is_some_and(|expiry| expiry.has_passed()) {
        return ExpiredSnafu { address }.fail().map_err(Into::into);
    }
    // Another task writes the request, and the process may be suspended before it does.
    let response = connection.sender.send_request(request).await;
    if response.is_err() && connection.write.is_refused() {
        return ExpiredSnafu { address }.fail().map_err(Into::into);
    }
    Ok((connection, response.context(ExchangeSnafu { address })?))
}

/// Waits for an operation of a server.
async fn within<T>(
    address: SocketAddr,
    limit: Duration,
    operation: impl Future<Output = Result<T>>,
) -> Result<T> {
    match timeout(limit, operation).await {
        Ok(result) => result,
        Err(_) => TimeoutSnafu { address }.fail().map_err(Into::into),
    }
}

/// Reads a body to its end, waiting at most `part_limit` for each part.
async fn read_parts(
    address: SocketAddr,
    mut body: Incoming,
    part_limit: Duration,
) -> Result<Bytes> {
    let mut bytes = BytesMut::new();
    loop {
        let part = async { Ok(body.frame().await) };
        match within(address, part_limit, part).await? {
            Some(part) => {
                let part = part.context(ExchangeSnafu { address })?;
                if let Ok(data) = part.into_data() {
                    bytes.extend_from_slice(&data);
                }
            }
            None => return Ok(bytes.freeze()),
        }
    }
}

/// Opens a connection within [`CONNECT_TIMEOUT`].
async fn connect_with_timeout(address: SocketAddr) -> Result<HttpConnection> {
    let Ok(result) = timeout(CONNECT_TIMEOUT, open_connection(address)).await else {
        let message = "timed out".to_owned();
        return ConnectSnafu { address, message }.fail().map_err(Into::into);
    };
    result
}

/// Opens a connection and drives it in a separate task, with no timeout but the system's.
///
/// # Errors
///
/// The connection could not be opened.
pub async fn connect(address: SocketAddr) -> Result<http1::SendRequest<Full<Bytes>>> {
    Ok(open_connection(address).await?.sender)
}

async fn open_connection(address: SocketAddr) -> Result<HttpConnection> {
    let connect_error = |message: String| ConnectSnafu { address, message }.build();
    let stream = TcpStream::connect(address)
        .await
        .map_err(|error| connect_error(error.to_string()))?;
    stream
        .set_nodelay(true)
        .map_err(|error| connect_error(error.to_string()))?;
    // A connection is closed while a request is in progress only to give the request up. An orderly
    // close would still deliver it once a partition ends, long after the decision behind it.
    stream
        .set_zero_linger()
        .map_err(|error| connect_error(error.to_string()))?;
    let write = RequestWrite::default();
    let stream = ExpiringStream::new(stream, write.clone());
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (sender, connection) = handshake.map_err(|error| connect_error(error.to_string()))?;
    tokio::spawn(async move {
        if let Err(error) = connection.await {
            spdlog::debug!("[net] Connection to {address} closed: {error}.");
        }
    });
    Ok(HttpConnection { sender, write })
}

/// Pool of clients of one address for concurrent requests; idle clients are reused.
#[derive(Debug)]
pub struct ClientPool {
    address: SocketAddr,
    idle: SegQueue<HttpClient>,
}

impl ClientPool {
    /// Creates an empty pool.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            idle: SegQueue::new(),
        }
    }

    /// Sends a request on an idle client, or on a new one.
    ///
    /// A connection that was open for a while and does not answer may have gone silent, and the idle
    /// ones with it, so they are closed.
    ///
    /// # Errors
    ///
    /// Those of [`HttpClient::send`].
    pub async fn send(&self, request: HttpRequest, limit: Duration) -> Result<HttpResponse> {
        let Some(mut client) = self.idle.pop() else {
            let mut client = HttpClient::new(self.address);
            let response = client.send(request, limit).await?;
            self.idle.push(client);
            return Ok(response);
        };
        let response = client.send(request, limit).await;
        match &response {
            Ok(_) => self.idle.push(client),
            Err(error) if error.category() == Category::Unknown => {
                while self.idle.pop().is_some() {}
            }
            Err(_) => {}
        }
        response
    }

    /// Sends a request on new connections until the head of a response arrives: again after each
    /// `repeat`, while the earlier ones may still be answered. It finds a server that answers again, or
    /// leaves a connection that has gone silent, sooner than a time limit that suits a slow link. The
    /// request must not have an effect.
    ///
    /// # Errors
    ///
    /// Those of [`HttpClient::send`], for the first attempt that fails.
    pub async fn send_repeated(
        &self,
        request: HttpRequest,
        repeat: Duration,
        limit: Duration,
    ) -> Result<HttpResponse> {
        let mut attempts = FuturesUnordered::new();
        let mut next_at = Instant::now();
        let open = loop {
            tokio::select! {
                biased;
                Some(opened) = attempts.next(), if !attempts.is_empty() => break opened?,
                () = sleep_until(next_at) => {
                    next_at += repeat;
                    let request = request.clone();
                    attempts.push(async move {
                        HttpClient::new(self.address).open(request, limit).await
                    });
                }
            }
        };
        // The responses of the other attempts would compete for the link.
        drop(attempts);
        let (connection, response) = open.read().await?;
        let mut client = HttpClient::new(self.address);
        client.connection = Some(connection);
        self.idle.push(client);
        Ok(response)
    }
}
