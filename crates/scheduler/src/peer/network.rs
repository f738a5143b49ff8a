//! Connections between members over TCP.

use std::{io, net::SocketAddr};

use tokio::net::{TcpListener, TcpStream};

use crate::{
    error::{BindSnafu, Result},
    ports::{PeerListener, PeerNetwork},
};

/// Network between members over TCP.
#[derive(Clone, Copy, Debug, Default)]
pub struct TcpPeers;

impl PeerNetwork for TcpPeers {
    type Stream = TcpStream;
    type Listener = TcpListener;

    async fn bind(&self, address: SocketAddr) -> Result<TcpListener> {
        TcpListener::bind(address).await.map_err(|error| {
            BindSnafu {
                address: address.to_string(),
                message: error.to_string(),
            }
            .build()
            .into()
        })
    }

    async fn connect(&self, address: SocketAddr) -> io::Result<TcpStream> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        Ok(stream)
    }
}

impl PeerListener for TcpListener {
    type Stream = TcpStream;

    async fn accept(&self) -> io::Result<TcpStream> {
        let (stream, _) = TcpListener::accept(self).await?;
        // Without this option frames are only delayed.
        let _ = stream.set_nodelay(true);
        Ok(stream)
    }
}
