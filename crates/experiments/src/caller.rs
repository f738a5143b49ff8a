//! HTTP client of the callers' interface of an entry member.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Request, client::conn::http1, header};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// Response as a caller reads it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerResponse {
    /// HTTP status.
    pub status: u16,
    /// Value of the outcome header, or an empty string.
    pub outcome: String,
    /// Value of the reason header, or an empty string.
    pub reason: String,
    /// Value of the `retry-after` header, in seconds.
    pub retry_after: Option<u64>,
    /// Body, read to its end.
    pub body: Vec<u8>,
}

impl CallerResponse {
    /// Body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Cause of a missing or incomplete response.
pub type CallerError = Box<dyn std::error::Error + Send + Sync>;

/// Caller that sends requests to one entry member.
#[derive(Clone, Debug)]
pub struct WorkCaller {
    address: SocketAddr,
    key: Option<String>,
    order: Option<String>,
    service_ms: Option<u64>,
}

/// Connection of a caller, which can carry several requests in turn.
pub type CallerConnection = http1::SendRequest<Full<Bytes>>;

impl WorkCaller {
    /// Creates a caller of the member at an address.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            key: None,
            order: None,
            service_ms: None,
        }
    }

    /// Adds an idempotency key to each request.
    pub fn key(mut self, key: &str) -> Self {
        self.key = Some(key.to_owned());
        self
    }

    /// Names the run, so that the fake upstream counts it under that name.
    pub fn order(mut self, order: &str) -> Self {
        self.order = Some(order.to_owned());
        self
    }

    /// Sets the service time of the run on the fake upstream, in milliseconds.
    pub fn service_ms(mut self, service_ms: u64) -> Self {
        self.service_ms = Some(service_ms);
        self
    }

    /// Sends one request on a new connection and reads the response to its end.
    ///
    /// # Errors
    ///
    /// The connection fails or closes before the end of the response.
    pub async fn send(&self, work: &str, body: &str) -> Result<CallerResponse, CallerError> {
        let mut connection = self.connect().await?;
        self.send_on(&mut connection, work, body).await
    }

    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// The member cannot be reached.
    pub async fn connect(&self) -> Result<CallerConnection, CallerError> {
        let stream = TcpStream::connect(self.address).await?;
        stream.set_nodelay(true)?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        tokio::spawn(connection);
        Ok(sender)
    }

    /// Sends one request on an open connection and reads the response to its end.
    ///
    /// # Errors
    ///
    /// The connection fails or closes before the end of the response.
    pub async fn send_on(
        &self,
        connection: &mut CallerConnection,
        work: &str,
        body: &str,
    ) -> Result<CallerResponse, CallerError> {
        let mut request =
            Request::post(format!("/works/{work}/run")).header(header::HOST, "caller");
        let optional = [
            ("idempotency-key", self.key.clone()),
            ("x-order", self.order.clone()),
            (
                "x-service-ms",
                self.service_ms.map(|service_ms| service_ms.to_string()),
            ),
        ];
        for (name, value) in optional {
            if let Some(value) = value {
                request = request.header(name, value);
            }
        }
        let request = request.body(Full::new(Bytes::from(body.to_owned())))?;
        connection.ready().await?;
        let response = connection.send_request(request).await?;
        let text = |name: &str| {
            let value = response
                .headers()
                .get(name)
                .and_then(|value| value.to_str().ok());
            value.unwrap_or_default().to_owned()
        };
        let (outcome, reason) = (text("jacinthhoist-outcome"), text("jacinthhoist-reason"));
        let retry_after = text("retry-after").parse().ok();
        let status = response.status().as_u16();
        let body = response.into_body().collect().await?.to_bytes().to_vec();
        Ok(CallerResponse {
            status,
            outcome,
            reason,
            retry_after,
            body,
        })
    }
}

/// Time-out of waits in tests, so that a hang fails with a message.
pub(crate) const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
