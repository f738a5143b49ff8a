//! Minimal caller and upstream, which cost little, so that measurements show the cost of the entry.

use std::net::SocketAddr;

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

/// Complete response of the upstream.
const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
/// Size of a read buffer.
const BUFFER_BYTES: usize = 4_096;
/// End of the head of a message; the requests have no body.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// Starts an upstream that sends a fixed response to every request without a body. It ends with the
/// runtime.
///
/// # Errors
///
/// No loopback address can be bound.
pub async fn spawn_raw_upstream() -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream));
        }
    });
    Ok(address)
}

async fn serve(mut stream: TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut buffer = vec![0; BUFFER_BYTES];
    let mut filled = 0;
    loop {
        let read = stream.read(&mut buffer[filled..]).await?;
        if read == 0 {
            return Ok(());
        }
        filled += read;
        if buffer[..filled].ends_with(HEAD_END) {
            stream.write_all(RESPONSE).await?;
            filled = 0;
        }
    }
}

/// Caller that repeats one request on one connection.
#[derive(Debug)]
pub struct RawCaller {
    stream: TcpStream,
    request: Vec<u8>,
    buffer: Vec<u8>,
}

impl RawCaller {
    /// Connects to an address for requests of one work.
    ///
    /// # Errors
    ///
    /// The address cannot be reached.
    pub async fn connect(address: SocketAddr, work: &str) -> std::io::Result<Self> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let request =
            format!("GET /works/{work}/run HTTP/1.1\r\nhost: caller\r\n\r\n").into_bytes();
        Ok(Self {
            stream,
            request,
            buffer: vec![0; BUFFER_BYTES],
        })
    }

    /// Sends the request and reads the response; returns true for status 200.
    ///
    /// # Errors
    ///
    /// The connection fails or closes before the end of the response.
    pub async fn send(&mut self) -> std::io::Result<bool> {
        self.stream.write_all(&self.request).await?;
        let mut filled = 0;
        loop {
            let read = self.stream.read(&mut self.buffer[filled..]).await?;
            if read == 0 {
                return Err(std::io::ErrorKind::UnexpectedEof.into());
            }
            filled += read;
            let response = &self.buffer[..filled];
            let head = response
                .windows(HEAD_END.len())
                .position(|window| window == HEAD_END);
            let is_complete = head.is_some_and(|head| filled > head + HEAD_END.len());
            if is_complete {
                return Ok(response.starts_with(b"HTTP/1.1 200"));
            }
        }
    }
}
