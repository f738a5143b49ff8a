//! Accept: callers' connections, bounded in number, ended in good order at a stop.

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

use super::workers::RequestWorkers;
use crate::{
    accept::ACCEPT_PAUSE,
    context::{MemberContext, StopPhase},
    error::Result,
    logs::log_line,
};

/// Serves callers until the member drains; returns once every connection has ended.
///
/// # Errors
///
/// The threads of the workers cannot be started.
pub(crate) async fn serve_callers(
    context: Arc<MemberContext>,
    listener: TcpListener,
) -> Result<()> {
    let open = Arc::new(LoadGate::default());
    let served = (context.clone(), open.clone());
    let mut workers = RequestWorkers::spawn(&context, move |stream| {
        let (context, open) = served.clone();
        async move {
            serve_connection(context, stream).await;
            open.release();
        }
    })?;
    let draining = lingered(&context);
    tokio::pin!(draining);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = &mut draining => break,
        };
        match accepted {
            Ok((stream, _)) if open.try_acquire(context.settings.limits.caller_connections) => {
                workers.hand(stream);
            }
            Ok(_) => {}
            Err(error) => {
                log_line!(
                    warn,
                    Request,
                    "A connection was not accepted ({error}). Raise the limit on open files."
                );
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    drop(listener);
    workers.end().await;
    Ok(())
}

/// Ends some time after the member began to drain: a request that was on its way then is still
/// answered, and its connection closed with the answer.
async fn lingered(context: &MemberContext) {
    context.wait_for_stop(StopPhase::Draining).await;
    sleep(Duration::from_millis(context.settings.limits.linger_ms)).await;
}

async fn serve_connection(context: Arc<MemberContext>, stream: TcpStream) {
    // A connection without it works, only slower.
    let _ = stream.set_nodelay(true);
    let served = context.clone();
    let service = service_fn(move |request| {
        let context = served.clone();
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
        () = lingered(&context) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        spdlog::debug!("[request] A caller's connection ended: {error}.");
    }
}
