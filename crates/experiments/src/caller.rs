//! A caller that sends one request at a time.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Request, client::conn::http1, header};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// What a caller reads of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerResponse {
    /// The status.
    pub status: u16,
    /// The outcome header.
    pub outcome: String,
    /// The reason header, or nothing.
    pub reason: String,
    /// Seconds to wait, where the answer says so.
    pub retry_after: Option<u64>,
    /// The whole body.
    pub body: Vec<u8>,
}

impl CallerResponse {
    /// The body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Why a caller got no whole answer.
pub type CallerError = Box<dyn std::error::Error + Send + Sync>;

/// A caller of one entry member.
#[derive(Clone, Debug)]
pub struct WorkCaller {
    address: SocketAddr,
    key: Option<String>,
    order: Option<String>,
    service_ms: Option<u64>,
}

/// A connection of a caller, for more than one request.
pub type CallerConnection = http1::SendRequest<Full<Bytes>>;

impl WorkCaller {
    /// A caller of the member at an address.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            key: None,
            order: None,
            service_ms: None,
        }
    }

    /// Sends an idempotency key.
    pub fn key(mut self, key: &str) -> Self {
        self.key = Some(key.to_owned());
        self
    }

    /// Names the run, so that the stand-in counts it.
    pub fn order(mut self, order: &str) -> Self {
        self.order = Some(order.to_owned());
        self
    }

    /// Asks the stand-in for a service time.
    pub fn service_ms(mut self, service_ms: u64) -> Self {
        self.service_ms = Some(service_ms);
        self
    }

    /// Sends one request on a connection of its own and reads the whole answer.
    ///
    /// # Errors
    ///
    /// The connection ended before the whole answer was there.
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

    /// Sends one request on a connection and reads the whole answer.
    ///
    /// # Errors
    ///
    /// The connection ended before the whole answer was there.
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

/// How long tests wait for what must happen; a hang ends with a message instead.
pub(crate) const HANG_LIMIT: Duration = Duration::from_secs(60);
