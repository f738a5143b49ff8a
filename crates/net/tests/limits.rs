//! Time limits on the parts of a response.

use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use jacinthhoist_net::{Category, HttpClient, HttpRequest};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::sleep,
};

/// Time limit of the head of a response.
const HEAD_LIMIT: Duration = Duration::from_millis(400);
/// Pause between two parts of a body.
const PART_PAUSE: Duration = Duration::from_millis(150);

/// Answers a request with a body of six parts, but stops after some of them.
async fn send_parts(mut stream: TcpStream, parts: usize) {
    let mut bytes = vec![0; 1_024];
    assert!(stream.read(&mut bytes).await.unwrap() > 0);
    let head = b"HTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\n";
    stream.write_all(head).await.unwrap();
    for _ in 0..parts {
        sleep(PART_PAUSE).await;
        stream.write_all(b"x").await.unwrap();
    }
    sleep(10 * HEAD_LIMIT).await;
}

/// A body may take longer than the limit of the request while its parts arrive; one that stops fails.
#[tokio::test]
async fn a_part_limit_covers_each_part_of_the_body() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        // The second body stops after half of its parts.
        for parts in [6, 3] {
            let (stream, _) = listener.accept().await.unwrap();
            tokio::spawn(send_parts(stream, parts));
        }
    });
    let request = || {
        let request = HttpRequest::new(Method::GET, "/", Bytes::new());
        request.part_limit(2 * PART_PAUSE)
    };
    let response = HttpClient::new(address).send(request(), HEAD_LIMIT).await;
    assert_eq!(response.unwrap().bytes, "xxxxxx");
    let response = HttpClient::new(address).send(request(), HEAD_LIMIT).await;
    assert_eq!(response.unwrap_err().category(), Category::Unknown);
}
