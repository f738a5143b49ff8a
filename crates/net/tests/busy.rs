//! Requests of a process that is itself late: it does not get to its connections for longer than a server may take.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener},
    thread,
    time::Duration,
};

use bytes::Bytes;
use hyper::Method;
use jacinthhoist_core::ClockTime;
use jacinthhoist_net::{BootClock, Category, HttpClient, HttpRequest, SendExpiry};
use tokio::time::sleep;

/// Time limit of a request.
const LIMIT: Duration = Duration::from_millis(200);
/// Time for which the process does nothing else.
const BUSY: Duration = Duration::from_millis(800);
/// Size of an answer that is not read in one piece.
const LONG_ANSWER_BYTES: usize = 256 << 10;

/// Serves one connection on a thread of its own, which the process under test does not hold up, and answers each
/// request with so many bytes after a delay. Returns the number of bytes of each request.
fn serve(delay: Duration, answer_bytes: usize) -> (SocketAddr, thread::JoinHandle<Vec<usize>>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let server = thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let (mut requests, mut bytes) = (Vec::new(), [0; 1_024]);
        while let Ok(count) = stream.read(&mut bytes)
            && count > 0
        {
            requests.push(count);
            thread::sleep(delay);
            let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {answer_bytes}\r\n\r\n");
            let answer = [head.as_bytes(), &vec![b'x'; answer_bytes]].concat();
            if stream.write_all(&answer).is_err() {
                break;
            }
        }
        requests
    });
    (address, server)
}

fn request() -> HttpRequest {
    HttpRequest::new(Method::POST, "/", Bytes::new())
}

/// Regression test (review/6 on slow members): orders that a busy owner had not written yet counted as unanswered,
/// so that their runs were stopped and started again, which kept the owner busy.
#[tokio::test]
async fn the_time_limit_does_not_cover_the_wait_for_the_own_process() {
    let (address, _server) = serve(Duration::ZERO, 2);
    let mut client = HttpClient::new(address);
    client.send(request(), LIMIT).await.unwrap();
    let call = tokio::spawn(async move { client.send(request(), LIMIT).await });
    // Runs after the request was handed to its connection and before the connection's task.
    let busy = tokio::spawn(async { thread::sleep(BUSY) });
    assert_eq!(call.await.unwrap().unwrap().bytes, "xx");
    busy.await.unwrap();
}

/// Regression test (review/6 on slow members): an answer that had arrived in time was dropped between its head and
/// its body, and its worker counted as silent.
#[tokio::test]
async fn an_answer_that_is_read_late_counts() {
    let (address, _server) = serve(LIMIT / 2, LONG_ANSWER_BYTES);
    let mut client = HttpClient::new(address);
    client.send(request(), LIMIT).await.unwrap();
    let call = tokio::spawn(async move { client.send(request(), LIMIT).await });
    sleep(LIMIT / 4).await;
    thread::sleep(BUSY);
    assert_eq!(call.await.unwrap().unwrap().bytes.len(), LONG_ANSWER_BYTES);
}

/// Regression test (review/6 on slow members): an order whose permission ran out before its first byte was written
/// counted as unanswered, so that it was looked up and stopped although it had not left the process.
#[tokio::test]
async fn a_request_that_expires_before_its_first_byte_was_not_sent() {
    let (address, server) = serve(Duration::ZERO, 2);
    let mut client = HttpClient::new(address);
    client.send(request(), LIMIT).await.unwrap();
    let clock = BootClock::start();
    let expiry = SendExpiry::new(clock, clock.now() + ClockTime::from_millis(100));
    let call = tokio::spawn(async move { client.send(request().expires(expiry), LIMIT).await });
    let busy = tokio::spawn(async { thread::sleep(BUSY) });
    let error = call.await.unwrap().unwrap_err();
    assert_eq!(error.category(), Category::Expired);
    busy.await.unwrap();
    assert_eq!(server.join().unwrap().len(), 1);
}
