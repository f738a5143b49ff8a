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

const LIMIT: Duration = Duration::from_millis(400);

/// Answers requests slowly enough that concurrent ones need connections of their own, until the
/// connection goes silent.
async fn serve(mut stream: TcpStream, silent: Arc<AtomicBool>) {
    let mut bytes = vec![0; 1_024];
    while stream.read(&mut bytes).await.is_ok_and(|count| count > 0) {
        sleep(LIMIT / 8).await;
        if !silent.load(Ordering::Relaxed) {
            let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
            stream.write_all(answer).await.unwrap();
        }
    }
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
    assert!(pool.send_fresh(request(), LIMIT).await.is_ok());
    assert!(send().await.is_err());
    for _ in 0..4 {
        assert!(send().await.is_ok());
    }
}
