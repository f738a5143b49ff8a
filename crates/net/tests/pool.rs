//! Connections of a pool that have gone silent.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use hyper::Method;
use jacinthhoist_net::{ClientPool, HttpRequest};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::sleep,
};

const LIMIT: Duration = Duration::from_millis(2_000);
/// Time that the server takes for an answer.
const ANSWER_DELAY: Duration = Duration::from_millis(50);

/// Answers requests slowly enough that concurrent ones need connections of their own, until the
/// connection goes silent.
async fn serve(mut stream: TcpStream, silent: Arc<AtomicBool>) {
    let mut bytes = vec![0; 1_024];
    while stream.read(&mut bytes).await.is_ok_and(|count| count > 0) {
        sleep(ANSWER_DELAY).await;
        if !silent.load(Ordering::Relaxed) {
            let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
            stream.write_all(answer).await.unwrap();
        }
    }
}

/// Guards against a member that waited five seconds for a page that a silent store had not answered,
/// long after the store was back.
#[tokio::test]
async fn a_repeated_request_needs_one_answer() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        for number in 0.. {
            let (stream, _) = listener.accept().await.unwrap();
            let silent = Arc::new(AtomicBool::new(number < 2));
            tokio::spawn(serve(stream, silent));
        }
    });
    let pool = ClientPool::new(address);
    let request = HttpRequest::new(Method::GET, "/", Bytes::new());
    let response = pool.send_repeated(request.clone(), 4 * ANSWER_DELAY, LIMIT);
    assert!(response.await.is_ok());
    // The connection that has answered is used again.
    assert!(pool.send(request, LIMIT).await.is_ok());
}

/// Guards against a series of timeouts after the open connections to the store had gone silent: each
/// idle one was tried in turn, and a takeover waited five seconds for each page.
#[tokio::test]
async fn idle_connections_that_went_silent_cost_one_timeout() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let silent = Arc::new(AtomicBool::new(false));
    let first_silent = silent.clone();
    tokio::spawn(async move {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            // Connections that are opened after the fault work.
            let silent = if first_silent.load(Ordering::Relaxed) {
                Arc::default()
            } else {
                first_silent.clone()
            };
            tokio::spawn(serve(stream, silent));
        }
    });
    let pool = ClientPool::new(address);
    let request = || HttpRequest::new(Method::GET, "/", Bytes::new());
    let send = || pool.send(request(), LIMIT);
    let opened = tokio::join!(send(), send(), send(), send());
    assert!(opened.0.is_ok() && opened.1.is_ok() && opened.2.is_ok() && opened.3.is_ok());
    silent.store(true, Ordering::Relaxed);
    assert!(send().await.is_err());
    for _ in 0..4 {
        assert!(send().await.is_ok());
    }
}
