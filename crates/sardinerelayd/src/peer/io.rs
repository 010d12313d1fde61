//! A TCP stream that counts its bytes.

use {
    super::SharedCounters,
    std::{
        io,
        pin::Pin,
        sync::atomic::Ordering,
        task::{Context, Poll, ready},
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::TcpStream,
    },
};

/// A TCP stream that adds its bytes to the counters of all connections between hosts.
#[derive(Debug)]
pub(super) struct CountingStream {
    stream: TcpStream,
    counters: SharedCounters,
}

impl CountingStream {
    pub(super) fn new(stream: TcpStream, counters: SharedCounters) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        Ok(Self { stream, counters })
    }
}

impl AsyncRead for CountingStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        let count = buffer.filled().len() - before;
        self.counters
            .received_bytes
            .fetch_add(count as u64, Ordering::Relaxed);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for CountingStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        let count = ready!(Pin::new(&mut self.stream).poll_write(context, buffer))?;
        self.counters
            .sent_bytes
            .fetch_add(count as u64, Ordering::Relaxed);
        Poll::Ready(Ok(count))
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
