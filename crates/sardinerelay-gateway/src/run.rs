//! Runs a process until it is stopped.

use {
    crate::{
        allocator::{Allocator, Scope},
        codec::Codec,
        control,
        entry::EntryHost,
        exit_code::ExitCode,
        follow, front,
        group::{self, AllocationReport},
        http_server,
        metrics::Metrics,
        observations::{Followers, Observations, ObservationsSender},
        observer::Observer,
        reload, settings,
    },
    anyhow::{Context as _, Result},
    axum::body::Body,
    http::{Method, Request, Response, StatusCode},
    hyper::body::Incoming,
    log::{error, info, warn},
    sardinerelayd::stop,
    std::{
        net::SocketAddr,
        sync::Arc,
        thread,
        time::{Duration, Instant},
    },
    tokio::{
        net::TcpListener,
        runtime::Builder,
        sync::{
            mpsc::{UnboundedReceiver, unbounded_channel},
            watch,
        },
        time::sleep,
    },
};

/// Time for which a stopping entry host still takes new connections: the balancer asks once a
/// second, and notices at the second answer.
const ROTATE: Duration = Duration::from_millis(2600);
/// Part of the grace time that is left for the end of the process.
const RESERVE: Duration = Duration::from_millis(500);
/// Time in which a stopping voter hands over leadership.
const TRANSFER: Duration = Duration::from_millis(600);
/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";

/// Runs an entry host.
///
/// # Errors
///
/// What prevents it from starting.
pub async fn entry(settings: settings::Entry, codec: Codec) -> Result<ExitCode> {
    let began = Instant::now();
    let listener = TcpListener::bind(settings.front_address)
        .await
        .with_context(|| format!("listening on {}", settings.front_address))?;
    let (ready, grace) = (settings.readiness_address, settings.grace_period);
    let metrics_at = SocketAddr::from((settings.common.address, settings.common.metrics_port));
    let host = settings.common.host.clone();
    let common = &settings.common;
    reload::start(Arc::clone(&common.reloadable), Arc::clone(&common.loader))
        .context("listening for signals")?;
    let (tell, outgoing) = unbounded_channel();
    let entry = Arc::new(EntryHost::new(settings, codec, Metrics::new()?, tell));
    let shared = Arc::clone(&entry);
    let answer = move |request| {
        let response = readiness(&shared, &request);
        async move { response }
    };
    http_server::listen(ready, answer.clone())
        .await
        .with_context(|| format!("listening on {ready}"))?;
    if metrics_at != ready {
        http_server::listen(metrics_at, answer)
            .await
            .with_context(|| format!("listening on {metrics_at}"))?;
    }
    let (close, closing) = watch::channel(false);
    tokio::spawn(front::run(Arc::clone(&entry), listener, closing));
    tokio::spawn(Arc::clone(&entry).run_cleanup());
    let own = Arc::clone(&entry);
    tokio::spawn(async move { own.allocator.run_maintenance().await });
    follow(&entry, outgoing)?;
    info!(host = host.as_str(), took_ms = began.elapsed().as_millis() as u64; "entry host started");
    stop::termination_signal()
        .await
        .context("listening for signals")?;
    info!(host = host.as_str(), open = entry.drain.open_requests() as u64; "stop requested");
    let deadline = grace.saturating_sub(ROTATE + RESERVE);
    let drained = entry.drain.run(ROTATE, deadline).await;
    // Kept connections are closed once their request, if any, was answered.
    close.send_replace(true);
    sleep(RESERVE / 5).await;
    match drained {
        Ok(()) => {
            info!(host = host.as_str(); "stopped");
            Ok(ExitCode::Success)
        }
        Err(unfinished) => {
            warn!(host = host.as_str(); "{unfinished}");
            Ok(ExitCode::Forced)
        }
    }
}

/// Follows the group on a thread of its own, so that traffic can't delay a configuration.
fn follow(entry: &Arc<EntryHost>, outgoing: UnboundedReceiver<AllocationReport>) -> Result<()> {
    let runtime = Builder::new_current_thread().enable_all().build();
    let runtime = runtime.context("starting the control thread's runtime")?;
    let entry = Arc::clone(entry);
    thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || runtime.block_on(follow::run(entry, outgoing)))
        .context("starting the control thread")?;
    Ok(())
}

fn readiness(entry: &EntryHost, request: &Request<Incoming>) -> Response<Body> {
    let path = request.uri().path();
    if request.method() != Method::GET {
        return http_server::text(StatusCode::METHOD_NOT_ALLOWED, "");
    }
    if path == METRICS_PATH {
        return show_metrics(&entry.metrics, request);
    }
    if path != entry.codec.ready_path {
        return http_server::text(StatusCode::NOT_FOUND, "");
    }
    match (entry.drain.is_draining(), entry.table.load().is_some()) {
        (true, _) => http_server::text(StatusCode::SERVICE_UNAVAILABLE, "stopping\n"),
        (false, false) => http_server::text(StatusCode::SERVICE_UNAVAILABLE, "no configuration\n"),
        (false, true) => http_server::text(StatusCode::OK, "ready\n"),
    }
}

fn show_metrics(metrics: &Metrics, request: &Request<Incoming>) -> Response<Body> {
    if request.uri().path() != METRICS_PATH {
        return http_server::text(StatusCode::NOT_FOUND, "");
    }
    match metrics.encode() {
        Ok(text) => http_server::text(StatusCode::OK, text),
        Err(error) => http_server::text(StatusCode::INTERNAL_SERVER_ERROR, format!("{error}\n")),
    }
}

/// Runs a host with a replica.
///
/// # Errors
///
/// What prevents it from starting.
pub async fn voter(settings: settings::Voter, codec: Codec) -> Result<ExitCode> {
    let began = Instant::now();
    let common = &settings.common;
    let board: ObservationsSender = Arc::new(watch::Sender::new(Arc::new(Observations::default())));
    let followers = Arc::new(Followers::default());
    let replica = group::Settings {
        address: common.address,
        peer_port: common.peer_port,
        reloadable: Arc::clone(&common.reloadable),
        is_founding: settings.is_founding,
        data_dir: settings.data_dir.clone(),
    };
    let metrics = Arc::new(Metrics::new()?);
    let allocator = Arc::new(Allocator::new(Scope::Group));
    let shared = group::SharedState {
        observations: Arc::clone(&board),
        followers: Arc::clone(&followers),
        allocator: Arc::clone(&allocator),
        metrics: Arc::clone(&metrics),
    };
    tokio::spawn(feed_allocator(Arc::clone(&allocator), board.subscribe()));
    tokio::spawn(async move { allocator.run_maintenance().await });
    reload::start(Arc::clone(&common.reloadable), Arc::clone(&common.loader))
        .context("listening for signals")?;
    let mut running = group::start(replica, shared).await?;
    let handle = running.handle.clone();
    let shown = Arc::clone(&metrics);
    let metrics_at = SocketAddr::from((common.address, common.metrics_port));
    http_server::listen(metrics_at, move |request| {
        let response = show_metrics(&shown, &request);
        async move { response }
    })
    .await
    .with_context(|| format!("listening on {metrics_at}"))?;
    control::listen(settings.control_address, codec, handle.clone(), metrics)
        .await
        .with_context(|| format!("listening on {}", settings.control_address))?;
    let list = (settings.list_address, settings.max_list_calls_per_second);
    let observer = Arc::new(Observer::new(
        codec,
        list,
        (board, followers),
        handle.leads_or_leaderless(),
    ));
    tokio::spawn(observer.run(handle.newest()));
    let host = common.host.as_str();
    info!(host = host, took_ms = began.elapsed().as_millis() as u64; "voter started");
    tokio::select! {
        signalled = stop::termination_signal() => {
            signalled.context("listening for signals")?;
            info!(host = host; "stop requested");
            handle.transfer().await;
            sleep(TRANSFER.min(settings.grace_period / 2)).await;
            info!(host = host; "stopped");
            Ok(ExitCode::Success)
        }
        ended = &mut running.driver => {
            let reason = match ended {
                Ok(Ok(())) => "its input ended".to_owned(),
                Ok(Err(failure)) => failure.to_string(),
                Err(panic) => panic.to_string(),
            };
            error!(host = host, reason = reason.as_str(); "the replica ended");
            Ok(ExitCode::Replica)
        }
    }
}

/// Shows an allocator every board of its host.
async fn feed_allocator(allocator: Arc<Allocator>, mut boards: watch::Receiver<Arc<Observations>>) {
    while boards.changed().await.is_ok() {
        let board = boards.borrow_and_update().clone();
        allocator.merge(&board.with_current_ages());
    }
}
