//! Reading of bodies that are long, slow or without end.

use {
    bytes::Bytes,
    futures::stream::{self, StreamExt as _},
    http_body_util::{Full, StreamBody},
    hyper::body::{Body, Frame},
    sardinerelay_gateway::body::{self, Error, Limits, Memory},
    std::{
        convert::Infallible,
        time::{Duration, Instant},
    },
    tokio::time::sleep,
};

const MAX_BYTES: usize = 1 << 20;
const TIME_LIMIT: Duration = Duration::from_millis(300);

async fn read<Source>(source: Source, memory: &Memory) -> Result<Bytes, Error>
where
    Source: Body<Data = Bytes, Error = Infallible> + Unpin,
{
    let limits = Limits {
        max_bytes: MAX_BYTES,
        until: Instant::now() + TIME_LIMIT,
    };
    body::read(source, limits, memory).await
}

fn whole(bytes: usize) -> Full<Bytes> {
    Full::new(vec![b'x'; bytes].into())
}

/// A body of this many parts without a stated length.
fn parts(count: usize, bytes: usize) -> impl Body<Data = Bytes, Error = Infallible> + Unpin {
    let part = Bytes::from(vec![b'x'; bytes]);
    let frames = stream::iter((0..count).map(move |_| Ok(Frame::data(part.clone()))));
    StreamBody::new(frames)
}

/// Guards against a body that is kept although it is longer than allowed.
#[tokio::test]
async fn a_body_that_is_too_long_is_refused() {
    let memory = Memory::new(2 * MAX_BYTES);
    assert_eq!(
        read(whole(MAX_BYTES), &memory).await.expect("a body").len(),
        MAX_BYTES
    );
    assert!(matches!(
        read(whole(MAX_BYTES + 1), &memory).await,
        Err(Error::TooLong)
    ));
    let endless = parts(usize::MAX, 1000);
    assert!(matches!(read(endless, &memory).await, Err(Error::TooLong)));
}

/// Guards against a wait that only the peer can end.
#[tokio::test]
async fn a_body_that_takes_too_long_is_refused() {
    let memory = Memory::new(MAX_BYTES);
    let parts = stream::iter(0..usize::MAX).then(|_| async {
        sleep(Duration::from_millis(10)).await;
        Ok(Frame::data(Bytes::from_static(b"x")))
    });
    let slow = StreamBody::new(Box::pin(parts));
    let began = Instant::now();
    assert!(matches!(read(slow, &memory).await, Err(Error::TimedOut)));
    assert!(began.elapsed() < 2 * TIME_LIMIT, "{:?}", began.elapsed());
}

/// Guards against long bodies that together take all memory of a host.
#[tokio::test]
async fn long_bodies_share_their_memory() {
    let memory = Memory::new(MAX_BYTES);
    let first = read(parts(600, 1000), &memory).await.expect("a body");
    assert!(matches!(
        read(parts(600, 1000), &memory).await,
        Err(Error::NoMemory)
    ));
    assert!(
        read(whole(1000), &memory).await.is_ok(),
        "ordinary bodies need none"
    );
    drop(first);
    assert!(read(parts(600, 1000), &memory).await.is_ok());
}
