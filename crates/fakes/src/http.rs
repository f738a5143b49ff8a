//! HTTP/1 server that closes its connections when its handle is dropped.

use std::{convert::Infallible, future::Future, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use futures::stream;
use http_body_util::{BodyExt, Full, StreamBody, combinators::BoxBody};
use hyper::{
    Request, Response, StatusCode,
    body::{Frame, Incoming},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::TokioIo;
use serde::Serialize;
use tokio::{
    net::TcpListener,
    task::{JoinHandle, JoinSet},
    time::sleep,
};

/// Body of a response; an error in it closes the connection.
pub(crate) type ResponseBody = BoxBody<Bytes, std::io::Error>;

/// Handle of a running server; dropping it stops the server and closes its connections.
#[derive(Debug)]
pub(crate) struct FakeServer {
    pub(crate) address: SocketAddr,
    task: JoinHandle<()>,
}

impl FakeServer {
    /// Stops the server; its connections are closed when this returns.
    pub(crate) async fn close(mut self) {
        self.task.abort();
        // The result tells that the task was aborted.
        let _ = (&mut self.task).await;
    }
}

impl Drop for FakeServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Binds an address and answers each request with `serve`, which gets the connection's number,
/// counted from 1.
pub(crate) async fn spawn<F, Fut>(address: SocketAddr, serve: F) -> std::io::Result<FakeServer>
where
    F: Fn(u64, Request<Incoming>) -> Fut + Send + Sync + 'static,
    Fut: Future<Output = Response<ResponseBody>> + Send + 'static,
{
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    let serve = Arc::new(serve);
    let task = tokio::spawn(async move {
        let mut connections = JoinSet::new();
        let mut number = 0;
        while let Ok((stream, _)) = listener.accept().await {
            // Failure is harmless: the connection only has a higher latency.
            let _ = stream.set_nodelay(true);
            number += 1;
            let (serve, connection) = (serve.clone(), number);
            connections.spawn(async move {
                let service = service_fn(move |request| {
                    let response = serve(connection, request);
                    async move { Ok::<_, Infallible>(response.await) }
                });
                // Connection errors are left to the client, which sees them too.
                let _ = http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service)
                    .await;
            });
            while connections.try_join_next().is_some() {}
        }
    });
    Ok(FakeServer { address, task })
}

/// Body that is sent in full.
pub(crate) fn full_body(body: impl Into<Bytes>) -> ResponseBody {
    Full::new(body.into())
        .map_err(|never| match never {})
        .boxed()
}

/// Response whose body is sent in parts of at most `size` bytes, with a pause before each further
/// part.
pub(crate) async fn slow_response(
    response: Response<ResponseBody>,
    size: usize,
    pause: Duration,
) -> Response<ResponseBody> {
    let (head, body) = response.into_parts();
    // Cannot fail: the body is in memory.
    let body = body.collect().await.map(|body| body.to_bytes());
    let body = body.unwrap_or_default();
    let parts = stream::unfold((body, Duration::ZERO), move |(mut rest, wait)| async move {
        if rest.is_empty() {
            return None;
        }
        sleep(wait).await;
        let part = rest.split_to(size.min(rest.len()));
        Some((Ok(Frame::data(part)), (rest, pause)))
    });
    Response::from_parts(head, StreamBody::new(parts).boxed())
}

/// Response with a JSON body and status 200.
pub(crate) fn json<T: Serialize>(value: &T) -> Response<ResponseBody> {
    Response::new(full_body(serde_json::json!(value).to_string()))
}

/// Response with a status and no body.
pub(crate) fn status(status: StatusCode) -> Response<ResponseBody> {
    let mut response = Response::new(full_body(Bytes::new()));
    *response.status_mut() = status;
    response
}

/// Number under a key of the request's query; `None` if it is missing or not a number.
pub(crate) fn query_number<B>(request: &Request<B>, key: &str) -> Option<u64> {
    let pairs = request.uri().query().unwrap_or_default().split('&');
    let mut values = pairs.filter_map(|pair| pair.split_once('='));
    values
        .find(|(name, _)| *name == key)
        .and_then(|(_, value)| value.parse().ok())
}
