//! The cheapest caller and upstream there can be, so that the entry is what is measured.

use std::net::SocketAddr;

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

/// The upstream's whole answer.
const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
/// Bytes read at once.
const BUFFER_BYTES: usize = 4_096;
/// What ends the head of a message; the requests here have no body.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// Serves a fixed answer to every request without a body; ends with the runtime.
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
    let mut held = 0;
    loop {
        let read = stream.read(&mut buffer[held..]).await?;
        if read == 0 {
            return Ok(());
        }
        held += read;
        if buffer[..held].ends_with(HEAD_END) {
            stream.write_all(ANSWER).await?;
            held = 0;
        }
    }
}

/// A caller that sends the same request again and again on one connection.
#[derive(Debug)]
pub struct RawCaller {
    stream: TcpStream,
    request: Vec<u8>,
    buffer: Vec<u8>,
}

impl RawCaller {
    /// Connects to an address, for requests of one kind of work.
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

    /// Sends the request and reads the answer; whether it is a success.
    ///
    /// # Errors
    ///
    /// The connection ended.
    pub async fn send(&mut self) -> std::io::Result<bool> {
        self.stream.write_all(&self.request).await?;
        let mut held = 0;
        loop {
            let read = self.stream.read(&mut self.buffer[held..]).await?;
            if read == 0 {
                return Err(std::io::ErrorKind::UnexpectedEof.into());
            }
            held += read;
            let answer = &self.buffer[..held];
            let head = answer
                .windows(HEAD_END.len())
                .position(|window| window == HEAD_END);
            let whole = head.is_some_and(|head| held > head + HEAD_END.len());
            if whole {
                return Ok(answer.starts_with(b"HTTP/1.1 200"));
            }
        }
    }
}
