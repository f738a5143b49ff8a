//! Requests that must not be sent after a time.

use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use jacinthhoist_core::ClockTime;
use jacinthhoist_net::{BootClock, Category, HttpClient, HttpRequest, SendExpiry};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};

const LIMIT: Duration = Duration::from_secs(5);

/// Regression test: an order that waited for a connection, or whose process was suspended, went out
/// after the permission to send it had run out.
#[tokio::test]
async fn an_expired_request_is_not_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let server = tokio::spawn(async move {
        let mut received = Vec::new();
        for _ in 0..2 {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut bytes = vec![0; 1_024];
            let count = stream.read(&mut bytes).await.unwrap();
            received.push(count);
            if count > 0 {
                let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
                stream.write_all(answer).await.unwrap();
            }
        }
        received
    });
    let clock = BootClock::start();
    let request = |after_ms| {
        let expiry = SendExpiry::new(clock, clock.now() + ClockTime::from_millis(after_ms));
        HttpRequest::new(Method::POST, "/", Bytes::new()).expires(expiry)
    };
    let mut client = HttpClient::new(address);
    let expired = client.send(request(0), LIMIT).await.unwrap_err();
    assert_eq!(expired.category(), Category::Expired);
    assert!(client.send(request(60_000), LIMIT).await.is_ok());
    let received = server.await.unwrap();
    assert_eq!(received[0], 0);
    assert!(received[1] > 0);
}
