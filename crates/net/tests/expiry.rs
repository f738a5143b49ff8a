//! Requests that must not be sent, or delivered, after a time.

use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use jacinthhoist_core::ClockTime;
use jacinthhoist_net::{BootClock, Category, HttpClient, HttpRequest, SendExpiry};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt, Interest},
    net::TcpListener,
    time::{sleep, timeout},
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

/// Regression test (scale-2 of bmca-foundry-large): a request to join the group that a member had given
/// up was delivered after a partition of 12 s, as its connection had been closed in an orderly way, and
/// took the pools from a sound owner. A reset discards what has not been delivered.
#[tokio::test]
async fn a_request_that_is_given_up_resets_its_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let mut client = HttpClient::new(address);
    let request = HttpRequest::new(Method::POST, "/", Bytes::new());
    let error = client.send(request, Duration::from_millis(50)).await;
    assert_eq!(error.unwrap_err().category(), Category::Unknown);
    let (stream, _) = listener.accept().await.unwrap();
    // An orderly close gives no error. The wait only ends a hang.
    let is_reset = timeout(LIMIT, stream.ready(Interest::ERROR)).await;
    assert!(is_reset.is_ok_and(|ready| ready.unwrap().is_error()));
}

/// Guards against a request that leaves the process after a suspension in the middle of it: the expiry
/// was compared before the request was handed to the connection, but not when its bytes were written.
#[tokio::test]
async fn no_part_of_an_expired_request_is_written() {
    const BODY_BYTES: usize = 64 << 20;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let clock = BootClock::start();
    let expires_at = clock.now() + ClockTime::from_millis(300);
    let server = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        // The client fills the buffers of the connection and waits.
        while !SendExpiry::new(clock, expires_at).has_passed() {
            sleep(Duration::from_millis(20)).await;
        }
        let (mut received, mut bytes) = (0, vec![0; 1 << 16]);
        while let Ok(count) = stream.read(&mut bytes).await
            && count > 0
        {
            received += count;
        }
        received
    });
    let request = HttpRequest::new(Method::POST, "/", Bytes::from(vec![0; BODY_BYTES]));
    let request = request.expires(SendExpiry::new(clock, expires_at));
    let error = HttpClient::new(address).send(request, LIMIT).await;
    // A part of it had been written, so the server may have acted on it.
    assert_eq!(error.unwrap_err().category(), Category::Unknown);
    assert!(server.await.unwrap() < BODY_BYTES);
}
