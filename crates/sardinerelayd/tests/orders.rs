//! An order is sent only if the lease covers its deadline.

use {
    sardinerelay::lease::Lease,
    sardinerelayd::engine::order::{Body, Outcome, connect},
    std::time::{Duration, Instant},
    tokio::{io::AsyncReadExt, net::TcpListener},
};

fn body() -> Body {
    Body {
        term: 1,
        sequence: 1,
        action: "load",
        model: "bend-planner".into(),
        adapter: None,
        version: "1".into(),
    }
}

/// Guards against checking the lease too early, for example when connecting: the connection is
/// open, but the lease ends before the order's deadline, so no byte may be sent.
#[tokio::test]
async fn nothing_is_written_after_the_lease() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let connection = connect(address).await.expect("a connection");
    let now = Instant::now();
    let mut lease = Lease::new(Duration::from_secs(1), Duration::ZERO);
    lease.renew(now);
    // The lease is held now, but it ends a second before the order's deadline.
    let outcome = connection
        .send(&body(), Some(lease), now + Duration::from_secs(2))
        .await;
    assert_eq!(outcome, Outcome::Uncovered);
    let (mut stream, _) = listener.accept().await.expect("the connection");
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).await.expect("the end");
    assert_eq!(bytes, b"", "the order was sent without a lease");
}
