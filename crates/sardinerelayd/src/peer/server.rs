//! RPC server for other hosts and for operators.

use {
    super::{
        MAX_REQUEST_BYTES, MAX_RESPONSE_BYTES, NotificationHandler, Secrets, SharedCounters, io,
        secret::SecretLayer,
    },
    crate::panics,
    hyper::body::Incoming,
    jsonrpsee::{
        core::middleware::RpcServiceBuilder,
        server::{
            BatchRequestConfig, HttpRequest, Methods, Server as RpcServer, ServerConfig,
            ServerHandle, StopHandle, TowerServiceBuilder, serve_with_graceful_shutdown,
            stop_channel,
        },
    },
    log::{debug, warn},
    std::{io::Error, net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        net::{TcpListener, TcpStream},
        time::sleep,
    },
    tower::{
        Service as _, ServiceBuilder,
        layer::util::{Identity, Stack},
        service_fn,
    },
};

/// Connections that one server may have open.
const MAX_CONNECTIONS: u32 = 2048;

/// Pause after a failed accept, which happens when file descriptors run out.
const RPC_ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(100);

type Builder =
    TowerServiceBuilder<Stack<NotificationHandler, Identity>, Stack<SecretLayer, Identity>>;

/// A running server, which stops when it is dropped.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    _stop: ServerHandle,
}

impl Server {
    /// Listens on `address`, serves `methods` and passes notifications to
    /// `notification_handler`. Without secrets, it serves every client that can connect, which is
    /// meant for a system of one host on loopback.
    ///
    /// # Errors
    ///
    /// The I/O error if the address can't be bound.
    pub async fn start<M>(
        address: SocketAddr,
        secrets: Option<Secrets>,
        (methods, notification_handler): (M, NotificationHandler),
        counters: SharedCounters,
    ) -> Result<Self, Error>
    where
        M: Into<Methods>,
    {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let config = ServerConfig::builder()
            .max_request_body_size(MAX_REQUEST_BYTES)
            .max_response_body_size(MAX_RESPONSE_BYTES)
            .max_connections(MAX_CONNECTIONS)
            .set_batch_request_config(BatchRequestConfig::Disabled)
            .ws_only()
            .build();
        let builder = RpcServer::builder()
            .set_config(config)
            .set_rpc_middleware(RpcServiceBuilder::new().layer(notification_handler))
            .set_http_middleware(ServiceBuilder::new().layer(SecretLayer(secrets)))
            .to_service_builder();
        let (stopped, stop) = stop_channel();
        let methods = methods.into();
        let accepting = accept(listener, builder, methods, counters, stopped);
        panics::spawn_essential("accept hosts", accepting);
        Ok(Self {
            address,
            _stop: stop,
        })
    }

    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

async fn accept(
    listener: TcpListener,
    builder: Builder,
    methods: Methods,
    counters: SharedCounters,
    stopped: StopHandle,
) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stopped.clone().shutdown() => return,
        };
        match accepted {
            Ok((stream, _)) => serve(stream, &builder, &methods, &counters, &stopped),
            Err(error) => {
                warn!("accepting an RPC connection failed: {error}");
                sleep(RPC_ACCEPT_RETRY_PAUSE).await;
            }
        }
    }
}

fn serve(
    stream: TcpStream,
    builder: &Builder,
    methods: &Methods,
    counters: &SharedCounters,
    stopped: &StopHandle,
) {
    let stream = match io::CountingStream::new(stream, Arc::clone(counters)) {
        Ok(stream) => stream,
        Err(error) => {
            debug!("an RPC connection was lost: {error}");
            return;
        }
    };
    let builder = builder.clone();
    let methods = methods.clone();
    let stop = stopped.clone();
    let service = service_fn(move |request: HttpRequest<Incoming>| {
        let mut service = builder.clone().build(methods.clone(), stop.clone());
        service.call(request)
    });
    let stopped = stopped.clone().shutdown();
    tokio::spawn(serve_with_graceful_shutdown(stream, service, stopped));
}
