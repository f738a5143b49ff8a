//! Checks that the links of the soak have the faults that it counts on.

use std::{net::SocketAddr, time::Duration};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::timeout,
};

use jacinthhoist_experiments::soak::{LinkDirection, LoopbackLink};

/// Time in which bytes arrive on loopback.
const ARRIVAL: Duration = Duration::from_secs(5);
/// Time for which something is seen not to happen.
const SILENCE: Duration = Duration::from_millis(200);

/// Opens a link to a listener, and a connection through it.
async fn open_pair() -> (LoopbackLink, TcpStream, TcpStream) {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = TcpListener::bind(any).await.unwrap();
    let link = LoopbackLink::open(listener.local_addr().unwrap()).unwrap();
    let near = TcpStream::connect(link.address).await.unwrap();
    let (far, _) = listener.accept().await.unwrap();
    (link, near, far)
}

async fn read_byte(stream: &mut TcpStream, limit: Duration) -> Option<std::io::Result<u8>> {
    timeout(limit, stream.read_u8()).await.ok()
}

/// Guards against a soak whose partitions lose the bytes in transit, or let connections through.
#[tokio::test]
async fn a_held_link_keeps_bytes_and_accepts_no_connection() {
    let (link, mut near, mut far) = open_pair().await;
    link.hold(LinkDirection::Forward);
    near.write_u8(7).await.unwrap();
    far.write_u8(8).await.unwrap();
    assert!(read_byte(&mut far, SILENCE).await.is_none());
    assert_eq!(read_byte(&mut near, ARRIVAL).await.unwrap().unwrap(), 8);
    let mut refused = false;
    // The link fills its queue shortly after the hold, and some connections lie in it before.
    for _ in 0..20 {
        let connected = timeout(SILENCE, TcpStream::connect(link.address)).await;
        refused |= connected.is_err();
    }
    assert!(refused, "connections to a held link time out");
    link.release(LinkDirection::Forward);
    assert_eq!(read_byte(&mut far, ARRIVAL).await.unwrap().unwrap(), 7);
    let connected = timeout(ARRIVAL, TcpStream::connect(link.address)).await;
    assert!(connected.unwrap().is_ok());
}

/// Guards against a soak that takes a partition for the end of a process, or the reverse.
#[tokio::test]
async fn a_link_refuses_connections_only_if_its_target_is_down() {
    let (link, mut near, mut far) = open_pair().await;
    link.reset();
    assert!(read_byte(&mut near, ARRIVAL).await.unwrap().is_err());
    assert!(read_byte(&mut far, ARRIVAL).await.unwrap().is_err());
    link.set_target_down(true);
    let refused = async {
        while TcpStream::connect(link.address).await.is_ok() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    timeout(ARRIVAL, refused).await.unwrap();
    link.set_target_down(false);
    let accepted = async {
        while TcpStream::connect(link.address).await.is_err() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    timeout(ARRIVAL, accepted).await.unwrap();
}
