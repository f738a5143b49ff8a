//! Connections opened by peers.

use std::{sync::Arc, time::Duration};

use futures::{SinkExt, StreamExt};
use jacinthhoist_codec::{HelloFrame, PeerFrame, decode_frame, encode_frame};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::mpsc,
    time::timeout,
};
use tokio_tungstenite::{WebSocketStream, accept_async, tungstenite::Message};

use super::{frames, loans::LoanTable};
use crate::{
    accept::accept_until_ended, context::MemberContext, control::FoldHandle, logs::log_line,
};

/// Serves peers until the member has ended.
pub(crate) async fn serve_peers(
    context: Arc<MemberContext>,
    fold: FoldHandle,
    listener: TcpListener,
) {
    accept_until_ended(&context, listener, |stream| {
        let (context, fold) = (context.clone(), fold.clone());
        async move { serve_peer(&context, &fold, stream).await }
    })
    .await;
}

async fn serve_peer(context: &Arc<MemberContext>, fold: &FoldHandle, stream: TcpStream) {
    // The option reduces latency; the connection works without it.
    let _ = stream.set_nodelay(true);
    let silence_timeout = Duration::from_millis(context.settings.limits.silent_ms);
    let Ok(Ok(mut socket)) = timeout(silence_timeout, accept_async(stream)).await else {
        context.meter.bad_frames.increment(1);
        return;
    };
    let Some(PeerFrame::Hello(hello)) = receive(context, &mut socket, silence_timeout).await else {
        log_line!(
            warn,
            Peer,
            "closed a connection without a hello frame; check which process opened it"
        );
        return;
    };
    if !frames::is_current(context, &hello) {
        log_line!(
            warn,
            Peer,
            "rejected a connection from an old incarnation of {}",
            hello.member
        );
        return;
    }
    exchange(context, fold, &hello, &mut socket, silence_timeout).await;
}

async fn exchange(
    context: &Arc<MemberContext>,
    fold: &FoldHandle,
    hello: &HelloFrame,
    socket: &mut WebSocketStream<TcpStream>,
    silence_timeout: Duration,
) {
    let (reply, mut replies) = mpsc::unbounded_channel();
    let mut loan_table = LoanTable::default();
    loop {
        tokio::select! {
            frame = receive(context, socket, silence_timeout) => {
                let Some(frame) = frame.filter(|_| frames::is_current(context, hello)) else {
                    return;
                };
                if let PeerFrame::Beat(heartbeat) = &frame {
                    // The receiver is owned by this function, so sending cannot fail.
                    let _ = reply.send(PeerFrame::Beat(frames::offset_heartbeat(
                        context,
                        heartbeat.seq,
                    )));
                }
                frames::handle(context, fold, hello, &mut loan_table, frame, &reply);
            }
            Some(frame) = replies.recv() => {
                if !send(context, socket, &frame).await {
                    return;
                }
            }
        }
    }
}

/// Receives the next frame; none if the connection ended, timed out or sent an invalid frame.
pub(super) async fn receive<S>(
    context: &MemberContext,
    socket: &mut WebSocketStream<S>,
    silence_timeout: Duration,
) -> Option<PeerFrame>
where
    S: tokio::io::AsyncRead + tokio::io::AsyncWrite + Unpin,
{
    loop {
        let message = timeout(silence_timeout, socket.next()).await.ok()??.ok()?;
        let bytes = match message {
            Message::Binary(bytes) => bytes,
            Message::Ping(_) | Message::Pong(_) => continue,
            Message::Text(_) | Message::Close(_) | Message::Frame(_) => return None,
        };
        match decode_frame(&bytes) {
            Ok(frame) => return Some(frame),
            Err(error) => {
                context.meter.bad_frames.increment(1);
                log_line!(
                    warn,
                    Peer,
                    "closed a connection after an invalid frame: {error}"
                );
                return None;
            }
        }
    }
}

/// Sends a frame; returns false if the connection has ended.
pub(super) async fn send<S>(
    context: &MemberContext,
    socket: &mut WebSocketStream<S>,
    frame: &PeerFrame,
) -> bool
where
    S: tokio::io::AsyncRead + tokio::io::AsyncWrite + Unpin,
{
    let Ok(bytes) = encode_frame(frame) else {
        return false;
    };
    context.meter.peer_bytes.increment(bytes.len() as u64);
    socket.send(Message::Binary(bytes.into())).await.is_ok()
}
