//! A small HTTP server whose connections end with its handle.

use std::{convert::Infallible, future::Future, net::SocketAddr, sync::Arc};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, combinators::BoxBody};
use hyper::{
    Request, Response, StatusCode, body::Incoming, server::conn::http1, service::service_fn,
};
use hyper_util::rt::TokioIo;
use serde::Serialize;
use tokio::{
    net::TcpListener,
    task::{JoinHandle, JoinSet},
};

/// The body of a stand-in's answer; an error cuts the connection.
pub(crate) type FakeBody = BoxBody<Bytes, std::io::Error>;

/// A running server; ends when dropped, with its connections.
#[derive(Debug)]
pub(crate) struct FakeServer {
    pub(crate) address: SocketAddr,
    task: JoinHandle<()>,
}

impl Drop for FakeServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Binds an address and serves each connection by `serve`, which gets the connection's number.
pub(crate) async fn spawn<F, Fut>(address: SocketAddr, serve: F) -> std::io::Result<FakeServer>
where
    F: Fn(u64, Request<Incoming>) -> Fut + Send + Sync + 'static,
    Fut: Future<Output = Response<FakeBody>> + Send + 'static,
{
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    let serve = Arc::new(serve);
    let task = tokio::spawn(async move {
        let mut connections = JoinSet::new();
        let mut number = 0;
        while let Ok((stream, _)) = listener.accept().await {
            // A connection without it works, only slower.
            let _ = stream.set_nodelay(true);
            number += 1;
            let (serve, connection) = (serve.clone(), number);
            connections.spawn(async move {
                let service = service_fn(move |request| {
                    let answer = serve(connection, request);
                    async move { Ok::<_, Infallible>(answer.await) }
                });
                // How a connection ends is the other side's to judge.
                let _ = http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service)
                    .await;
            });
            while connections.try_join_next().is_some() {}
        }
    });
    Ok(FakeServer { address, task })
}

/// A whole body.
pub(crate) fn whole(body: impl Into<Bytes>) -> FakeBody {
    Full::new(body.into())
        .map_err(|never| match never {})
        .boxed()
}

/// A JSON answer.
pub(crate) fn json<T: Serialize>(value: &T) -> Response<FakeBody> {
    Response::new(whole(serde_json::json!(value).to_string()))
}

/// An answer with a status and no body.
pub(crate) fn status(status: StatusCode) -> Response<FakeBody> {
    let mut response = Response::new(whole(Bytes::new()));
    *response.status_mut() = status;
    response
}

/// The value of a key in a query.
pub(crate) fn query<B>(request: &Request<B>, key: &str) -> Option<u64> {
    let pairs = request.uri().query().unwrap_or_default().split('&');
    let mut values = pairs.filter_map(|pair| pair.split_once('='));
    values
        .find(|(name, _)| *name == key)
        .and_then(|(_, value)| value.parse().ok())
}
