//! Tests of RPC between hosts.

use {
    jsonrpsee::{RpcModule, types::ErrorObjectOwned},
    rstest::rstest,
    sardinerelayd::peer::{
        Client, Counters, Error, MAX_REQUEST_BYTES, NotificationHandler, SecretError, Secrets,
        Server, Timeouts,
    },
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::{
        io::copy_bidirectional,
        net::{TcpListener, TcpStream},
        sync::mpsc,
        time::sleep,
    },
};

/// Time after which a test fails instead of hanging, long enough for a busy machine.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);

fn secrets(secrets: &[&str]) -> Secrets {
    let secrets: Vec<_> = secrets.iter().copied().map(Into::into).collect();
    Secrets::new(&secrets).unwrap()
}

/// Starts a server whose method `echo` returns its parameter and whose method `hang` never answers.
async fn server(accepted: &[&str]) -> Server {
    server_with_notifications(accepted, |_, _| {}).await
}

/// Starts the same server with a handler of notifications.
async fn server_with_notifications<Receive>(accepted: &[&str], receive: Receive) -> Server
where
    Receive: Fn(&str, &str) + Send + Sync + 'static,
{
    let mut module = RpcModule::new(());
    module
        .register_async_method("echo", |parameters, _, _| async move {
            let (text,) = parameters.parse::<(String,)>()?;
            Ok::<_, ErrorObjectOwned>(text)
        })
        .unwrap();
    module
        .register_async_method("hang", |_, _, _| std::future::pending::<String>())
        .unwrap();
    let any = "127.0.0.1:0".parse().unwrap();
    let counters = Arc::new(Counters::default());
    Server::start(
        any,
        Some(secrets(accepted)),
        (module, NotificationHandler::new(receive)),
        counters,
    )
    .await
    .unwrap()
}

fn client(address: SocketAddr, secret: &[&str]) -> Client {
    let timeouts = Timeouts {
        connect: TEST_TIMEOUT,
        silence: TEST_TIMEOUT,
    };
    Client::new(address, secrets(secret), timeouts, Arc::default())
}

async fn echo(client: &Client, text: &str) -> Result<String, Error> {
    client.call("echo", &text, TEST_TIMEOUT).await
}

// Guards against a server that accepts a host without a valid secret, and against hosts that can't
// communicate while secrets are rotated.
#[rstest]
#[case::equal(&["a"], &["a"], true)]
#[case::rotating(&["a", "b"], &["b", "a"], true)]
#[case::other(&["a"], &["b"], false)]
#[case::prefix(&["aa"], &["a"], false)]
#[tokio::test]
async fn secret_is_checked(
    #[case] accepted: &[&str],
    #[case] sent: &[&str],
    #[case] expected: bool,
) {
    let server = server(accepted).await;
    let answer = echo(&client(server.address(), sent), "x").await;
    match answer {
        Ok(text) => assert!(expected && text == "x"),
        Err(error) => assert!(!expected && error.is_unsent(), "{error}"),
    }
}

// Guards against secrets that a header can't carry, or that would match a request without a secret.
#[test]
fn unusable_secrets_are_refused() {
    assert_eq!(Some(SecretError::Empty), Secrets::new(&[]).err());
    for unusable in ["", "line\nbreak"] {
        let refused = Secrets::new(&["a".into(), unusable.into()]).err();
        assert_eq!(Some(SecretError::Character { position: 2 }), refused);
    }
}

/// Starts a TCP proxy that forwards connections to the server, except that the first one goes silent
/// after the handshake.
async fn silent_first(server: SocketAddr, accepted: Arc<AtomicUsize>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        loop {
            let (mut near, _) = listener.accept().await.unwrap();
            let first = accepted.fetch_add(1, Ordering::SeqCst) == 0;
            let mut far = TcpStream::connect(server).await.unwrap();
            tokio::spawn(async move {
                if first {
                    let (_, mut write) = far.split();
                    let mut request = [0; 4096];
                    near.readable().await.unwrap();
                    let count = near.try_read(&mut request).unwrap();
                    tokio::io::AsyncWriteExt::write_all(&mut write, &request[..count])
                        .await
                        .unwrap();
                    far.readable().await.unwrap();
                    let count = far.try_read(&mut request).unwrap();
                    tokio::io::AsyncWriteExt::write_all(&mut near, &request[..count])
                        .await
                        .unwrap();
                    std::future::pending::<()>().await;
                }
                copy_bidirectional(&mut near, &mut far).await
            });
        }
    });
    address
}

// Guards against a host that keeps using a connection that went silent while new ones work.
#[tokio::test]
async fn silent_connection_is_replaced() {
    let server = server(&["a"]).await;
    let accepted = Arc::new(AtomicUsize::new(0));
    let address = silent_first(server.address(), Arc::clone(&accepted)).await;
    let client = client(address, &["a"]);
    // On a busy machine, a call can time out before the connection is open, hence the loop.
    while accepted.load(Ordering::SeqCst) < 2 {
        let short = Duration::from_millis(200);
        match client.call::<_, String>("echo", &"x", short).await {
            Err(Error::Timeout { .. } | Error::Connect { .. }) => {}
            other => {
                assert!(accepted.load(Ordering::SeqCst) >= 2, "{other:?}");
            }
        }
    }
    assert_eq!("y", echo(&client, "y").await.unwrap());
}

// Guards against a slow method that blocks other calls on its connection, and against a timeout that
// counts as "unsent" although the other host may have run the call.
#[tokio::test]
async fn missed_deadline_is_not_unsent() {
    let server = server(&["a"]).await;
    let client = client(server.address(), &["a"]);
    echo(&client, "x").await.unwrap();
    let hang = client.call::<_, String>("hang", &"x", Duration::from_millis(300));
    let (hang, other) = tokio::join!(hang, async {
        sleep(Duration::from_millis(50)).await;
        echo(&client, "y").await
    });
    assert_eq!("y", other.unwrap());
    assert!(!hang.unwrap_err().is_unsent());
}

// Guards against a request that makes the server allocate memory without a limit.
#[tokio::test]
async fn large_request_is_refused() {
    let server = server(&["a"]).await;
    let client = client(server.address(), &["a"]);
    let text = "x".repeat(MAX_REQUEST_BYTES as usize + 1);
    echo(&client, &text).await.unwrap_err();
    assert_eq!("y", echo(&client, "y").await.unwrap());
}

// Guards against a server that ignores notifications, which would leave the group without a leader.
#[tokio::test]
async fn notification_is_delivered() {
    let (send, mut receive) = mpsc::unbounded_channel();
    let server = server_with_notifications(&["a"], move |method, parameters| {
        send.send((method.to_owned(), parameters.to_owned()))
            .unwrap();
    })
    .await;
    let client = client(server.address(), &["a"]);
    client.notify("tell", &"x", TEST_TIMEOUT).await.unwrap();
    let expected = ("tell".to_owned(), r#"["x"]"#.to_owned());
    assert_eq!(Some(expected), receive.recv().await);
}
