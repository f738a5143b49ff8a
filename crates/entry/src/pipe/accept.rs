//! Accept: serves a bounded number of callers' connections, with graceful shutdown.

use std::{convert::Infallible, sync::Arc, time::Duration};

use hyper::{
    header::{CONNECTION, HeaderValue},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use jacinthhoist_core::LoadGate;
use tokio::{
    net::{TcpListener, TcpStream},
    time::sleep,
};

use super::threads::RequestThreads;
use crate::{
    accept::ACCEPT_RETRY_PAUSE,
    context::{MemberContext, StopPhase},
    error::Result,
    logs::log_line,
};

/// Serves callers until the member drains; returns when all connections have ended.
///
/// # Errors
///
/// Fails if the request threads cannot be started.
pub(crate) async fn serve_callers(
    context: Arc<MemberContext>,
    listener: TcpListener,
) -> Result<()> {
    let open_connections = Arc::new(LoadGate::default());
    let shared = (context.clone(), open_connections.clone());
    let mut threads = RequestThreads::spawn(&context, move |stream| {
        let (context, open_connections) = shared.clone();
        async move {
            serve_connection(context, stream).await;
            open_connections.release();
        }
    })?;
    let lingered = linger_elapsed(&context);
    tokio::pin!(lingered);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = &mut lingered => break,
        };
        match accepted {
            Ok((stream, _))
                if open_connections.try_acquire(context.settings.limits.caller_connections) =>
            {
                threads.assign(stream);
            }
            Ok(_) => {}
            Err(error) => {
                log_line!(
                    warn,
                    Request,
                    "failed to accept a connection ({error}); raise the limit on open files"
                );
                sleep(ACCEPT_RETRY_PAUSE).await;
            }
        }
    }
    drop(listener);
    threads.end().await;
    Ok(())
}

/// Completes when the linger time has elapsed since the start of the drain, so that requests in
/// transit at that moment are still answered; their connections close with the response.
async fn linger_elapsed(context: &MemberContext) {
    context.wait_for_stop(StopPhase::Draining).await;
    sleep(Duration::from_millis(context.settings.limits.linger_ms)).await;
}

async fn serve_connection(context: Arc<MemberContext>, stream: TcpStream) {
    // The option reduces latency; the connection works without it.
    let _ = stream.set_nodelay(true);
    let shared = context.clone();
    let service = service_fn(move |request| {
        let context = shared.clone();
        async move {
            let mut response = super::serve(context.clone(), request).await;
            if *context.stop.borrow() > StopPhase::Running {
                response
                    .headers_mut()
                    .insert(CONNECTION, HeaderValue::from_static("close"));
            }
            Ok::<_, Infallible>(response)
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(context.settings.limits.head_ms))
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = linger_elapsed(&context) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        spdlog::debug!("[request] caller connection failed: {error}");
    }
}
