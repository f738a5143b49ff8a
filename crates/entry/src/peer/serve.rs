//! Serve: connections that peers open.

use std::{sync::Arc, time::Duration};

use futures::{SinkExt, StreamExt};
use jacinthhoist_codec::{HelloFrame, PeerFrame, decode_frame, encode_frame};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::mpsc,
    time::timeout,
};
use tokio_tungstenite::{WebSocketStream, accept_async, tungstenite::Message};

use super::{frames, lend::LoanBook};
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
    // A connection without it works, only slower.
    let _ = stream.set_nodelay(true);
    let silent = Duration::from_millis(context.settings.limits.silent_ms);
    let Ok(Ok(mut socket)) = timeout(silent, accept_async(stream)).await else {
        context.meter.bad_frames.increment(1);
        return;
    };
    let Some(PeerFrame::Hello(hello)) = receive(context, &mut socket, silent).await else {
        log_line!(
            warn,
            Peer,
            "A connection without a greeting was closed. Check who opens it."
        );
        return;
    };
    if !frames::is_current(context, &hello) {
        log_line!(
            warn,
            Peer,
            "{} came back under an old incarnation and was turned away.",
            hello.member
        );
        return;
    }
    exchange(context, fold, &hello, &mut socket, silent).await;
}

async fn exchange(
    context: &Arc<MemberContext>,
    fold: &FoldHandle,
    hello: &HelloFrame,
    socket: &mut WebSocketStream<TcpStream>,
    silent: Duration,
) {
    let (reply, mut replies) = mpsc::unbounded_channel();
    let mut book = LoanBook::default();
    loop {
        tokio::select! {
            frame = receive(context, socket, silent) => {
                let Some(frame) = frame.filter(|_| frames::is_current(context, hello)) else {
                    return;
                };
                if let PeerFrame::Beat(beat) = &frame {
                    // The receiver is in this very function.
                    let _ = reply.send(PeerFrame::Beat(frames::plain_beat(context, beat.seq)));
                }
                frames::take(context, fold, hello, &mut book, frame, &reply);
            }
            Some(frame) = replies.recv() => {
                if !send(context, socket, &frame).await {
                    return;
                }
            }
        }
    }
}

/// The next frame; none where the connection ended, was silent or sent garbage.
pub(super) async fn receive<S>(
    context: &MemberContext,
    socket: &mut WebSocketStream<S>,
    silent: Duration,
) -> Option<PeerFrame>
where
    S: tokio::io::AsyncRead + tokio::io::AsyncWrite + Unpin,
{
    loop {
        let message = timeout(silent, socket.next()).await.ok()??.ok()?;
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
                    "A frame was dropped with its connection: {error}."
                );
                return None;
            }
        }
    }
}

/// Sends a frame; false where the connection has ended.
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
