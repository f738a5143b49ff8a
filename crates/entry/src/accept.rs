//! Accept: a listener whose connections each get a task, until the member has ended.

use std::{sync::Arc, time::Duration};

use tokio::{
    net::{TcpListener, TcpStream},
    time::sleep,
};

use crate::context::{MemberContext, StopPhase};

/// Pause after an accept that failed for want of files, so that others can end.
pub(crate) const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Serves each connection in a task of its own; all of them end with the member.
pub(crate) async fn accept_until_ended<F, Fut>(
    context: &Arc<MemberContext>,
    listener: TcpListener,
    serve: F,
) where
    F: Fn(TcpStream) -> Fut,
    Fut: Future<Output = ()> + Send + 'static,
{
    let ended = context.wait_for_stop(StopPhase::Ended);
    tokio::pin!(ended);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = &mut ended => return,
        };
        let Ok((stream, _)) = accepted else {
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let (context, connection) = (context.clone(), serve(stream));
        tokio::spawn(async move {
            tokio::select! {
                () = connection => {}
                () = context.wait_for_stop(StopPhase::Ended) => {}
            }
        });
    }
}
