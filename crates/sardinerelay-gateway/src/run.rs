//! Runs the process of an entry host or of a host with a replica until it is stopped.

use {
    crate::{
        allocator::{Allocator, Scope},
        codec::Codec,
        control,
        entry::EntryHost,
        exit_code::ExitCode,
        follow, front, group, http_server,
        metrics::Metrics,
        observations::{Followers, Observations, ObservationsSender},
        observer::{
            Observer,
            division::{Division, QUEUE_CAPACITY},
        },
        reload,
        reporter::Report,
        settings,
    },
    anyhow::{Context as _, Result},
    axum::body::Body,
    http::{Method, Request, Response, StatusCode},
    hyper::body::Incoming,
    log::{error, info, warn},
    sardinerelay::wal::Volume,
    sardinerelayd::{panics, stop},
    std::{
        net::SocketAddr,
        sync::Arc,
        thread,
        time::{Duration, Instant},
    },
    thiserror::Error,
    tokio::{
        net::TcpListener,
        runtime::Builder,
        sync::{
            mpsc::{UnboundedReceiver, channel, unbounded_channel},
            watch,
        },
        time::sleep,
    },
};

/// Time for which a stopping entry host still accepts new connections. The load balancer checks
/// once a second whether the host is ready, and stops using it after the second negative response.
const DRAIN_DELAY: Duration = Duration::from_millis(2600);
/// Part of the grace period that is kept for closing connections and ending the process.
const EXIT_RESERVE: Duration = Duration::from_millis(500);
/// Time for which a stopping voter keeps running, so that another one can take over leadership.
const LEADERSHIP_TRANSFER_TIME: Duration = Duration::from_millis(600);
const METRICS_PATH: &str = "/metrics";

/// Runs an entry host until it is told to stop, then drains it. The exit code says whether all
/// requests were finished.
///
/// # Errors
///
/// Returns the error if the host can't start.
pub async fn entry(settings: settings::Entry, codec: Codec) -> Result<ExitCode> {
    let began = Instant::now();
    let listener = TcpListener::bind(settings.front_address)
        .await
        .with_context(|| format!("listening on {}", settings.front_address))?;
    let (readiness_address, grace_period) = (settings.readiness_address, settings.grace_period);
    let metrics_address = SocketAddr::from((settings.common.address, settings.common.metrics_port));
    let host = settings.common.host.clone();
    let common = &settings.common;
    reload::start(Arc::clone(&common.reloadable), Arc::clone(&common.loader))
        .context("listening for signals")?;
    let (reports, outgoing) = unbounded_channel();
    let entry = Arc::new(EntryHost::new(settings, codec, Metrics::new()?, reports));
    let shared = Arc::clone(&entry);
    let respond = move |request| {
        let response = readiness_response(&shared, &request);
        async move { response }
    };
    http_server::listen(readiness_address, respond.clone())
        .await
        .with_context(|| format!("listening on {readiness_address}"))?;
    if metrics_address != readiness_address {
        http_server::listen(metrics_address, respond)
            .await
            .with_context(|| format!("listening on {metrics_address}"))?;
    }
    panics::spawn_essential("accept", front::run(Arc::clone(&entry), listener));
    panics::spawn_essential("clean up", Arc::clone(&entry).run_cleanup());
    let maintenance_entry = Arc::clone(&entry);
    panics::spawn_essential("maintain the allocator", async move {
        maintenance_entry.allocator.run_maintenance().await;
    });
    start_following(&entry, outgoing)?;
    info!(host = host.as_str(), took_ms = began.elapsed().as_millis() as u64; "entry host started");
    tokio::select! {
        signalled = stop::termination_signal() => signalled.context("listening for signals")?,
        task = panics::essential_failed() => {
            error!(host = host.as_str(), task = task; "an essential task panicked");
            return Ok(ExitCode::General);
        }
    }
    info!(host = host.as_str(), open = entry.drain.open_requests() as u64; "stop requested");
    match stop_within(&entry, grace_period).await {
        Ok(()) => {
            info!(host = host.as_str(); "stopped");
            Ok(ExitCode::Success)
        }
        Err(incomplete) => {
            warn!(host = host.as_str(); "{incomplete}");
            Ok(ExitCode::Forced)
        }
    }
}

/// Why a planned stop cut answers.
#[derive(Debug, Error)]
pub enum Incomplete {
    /// Requests had not ended by themselves.
    #[error(transparent)]
    Unfinished(#[from] stop::Unfinished),
    /// Callers had not read their answers.
    #[error(transparent)]
    Unwritten(#[from] stop::Unwritten),
}

/// Stops serving callers within the grace period: as long as the load balancer may still send requests, takes
/// those that can end in time, then waits for the open ones, and until their callers have read the answers. What
/// is still open shortly before the end gets an answer.
///
/// # Errors
///
/// Returns what had not ended.
pub async fn stop_within(entry: &EntryHost, grace_period: Duration) -> Result<(), Incomplete> {
    let end = Instant::now() + grace_period;
    let delay = DRAIN_DELAY.min(grace_period / 3);
    let reserve = EXIT_RESERVE.min(grace_period / 4);
    let drained = entry
        .drain
        .run(delay, grace_period.saturating_sub(delay + reserve))
        .await;
    let closed = entry.drain.close(end - reserve / 2).await;
    drained?;
    Ok(closed?)
}

/// Follows the group on a separate thread, so that traffic can't delay a configuration.
fn start_following(entry: &Arc<EntryHost>, outgoing: UnboundedReceiver<Report>) -> Result<()> {
    let runtime = Builder::new_current_thread().enable_all().build();
    let runtime = runtime.context("starting the control thread's runtime")?;
    let entry = Arc::clone(entry);
    thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || {
            panics::run_essential("follow the group", || {
                runtime.block_on(follow::run(entry, outgoing));
            });
        })
        .context("starting the control thread")?;
    Ok(())
}

/// Responds to a readiness check or a request for metrics. The host is ready once it has a
/// configuration, which it gets only after the orders for zones, until it drains.
fn readiness_response(entry: &EntryHost, request: &Request<Incoming>) -> Response<Body> {
    let path = request.uri().path();
    if request.method() != Method::GET {
        return http_server::text(StatusCode::METHOD_NOT_ALLOWED, "");
    }
    if path == METRICS_PATH {
        let now = Instant::now();
        entry.metrics.record_balances(&entry.state().targets, now);
        return metrics_response(&entry.metrics, request);
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

/// Responds with the metrics, or with 404 to a request for another path.
fn metrics_response(metrics: &Metrics, request: &Request<Incoming>) -> Response<Body> {
    if request.uri().path() != METRICS_PATH {
        return http_server::text(StatusCode::NOT_FOUND, "");
    }
    match metrics.encode() {
        Ok(text) => http_server::text(StatusCode::OK, text),
        Err(error) => http_server::text(StatusCode::INTERNAL_SERVER_ERROR, format!("{error}\n")),
    }
}

/// Runs a host with a replica until it is told to stop or the replica fails.
///
/// # Errors
///
/// Returns the error if the host can't start.
pub async fn voter(settings: settings::Voter, codec: Codec) -> Result<ExitCode> {
    let began = Instant::now();
    let common = &settings.common;
    let observations: ObservationsSender =
        Arc::new(watch::Sender::new(Arc::new(Observations::default())));
    let followers = Arc::new(Followers::default());
    let replica = group::Settings {
        address: common.address,
        peer_port: common.peer_port,
        reloadable: Arc::clone(&common.reloadable),
        is_founding: settings.is_founding,
        data_dir: settings.data_dir.clone(),
        volume: Volume::default(),
    };
    let metrics = Arc::new(Metrics::new()?);
    let allocator = Arc::new(Allocator::new(Scope::Group));
    allocator.configure(common);
    allocator.set_weights(&common.weights);
    let (loads, received_loads) = channel(QUEUE_CAPACITY);
    let shared = group::SharedState {
        zone: common.zone.clone(),
        observations: Arc::clone(&observations),
        followers: Arc::clone(&followers),
        allocator: Arc::clone(&allocator),
        metrics: Arc::clone(&metrics),
        loads,
    };
    let merging = merge_observations(Arc::clone(&allocator), observations.subscribe());
    panics::spawn_essential("merge observations", merging);
    let maintained = Arc::clone(&allocator);
    panics::spawn_essential("maintain the allocator", async move {
        maintained.run_maintenance().await;
    });
    reload::start(Arc::clone(&common.reloadable), Arc::clone(&common.loader))
        .context("listening for signals")?;
    let mut running = group::start(replica, shared).await?;
    let handle = running.handle.clone();
    let served_metrics = Arc::clone(&metrics);
    let measured = Arc::clone(&allocator);
    let metrics_address = SocketAddr::from((common.address, common.metrics_port));
    http_server::listen(metrics_address, move |request| {
        served_metrics.record_balances(&measured.state().targets, Instant::now());
        let response = metrics_response(&served_metrics, &request);
        async move { response }
    })
    .await
    .with_context(|| format!("listening on {metrics_address}"))?;
    let operators = (handle.clone(), settings.zones());
    let drain = stop::Drain::default();
    let shared = (Arc::clone(&metrics), drain.clone());
    control::listen(settings.control_address, codec, operators, shared)
        .await
        .with_context(|| format!("listening on {}", settings.control_address))?;
    let republishing = follow::republish(
        common.host.clone(),
        handle.clone(),
        Arc::clone(&observations),
    );
    panics::spawn_essential("republish observations", republishing);
    let division = Division {
        own: common.address,
        clients: Arc::clone(handle.clients()),
        leader: handle.followed_leader(),
        heard: handle.heard(),
    };
    let list_source = (settings.list_address, settings.max_list_calls_per_second);
    let observer = Arc::new(Observer::new(
        codec,
        list_source,
        (observations, followers),
        (allocator, metrics),
        (handle.leads_or_leaderless(), handle.leads()),
        division,
    ));
    panics::spawn_essential(
        "observe targets",
        observer.run(handle.newest(), received_loads),
    );
    let host = common.host.as_str();
    info!(host = host, took_ms = began.elapsed().as_millis() as u64; "voter started");
    tokio::select! {
        signalled = stop::termination_signal() => {
            signalled.context("listening for signals")?;
            info!(host = host; "stop requested");
            let end = Instant::now() + settings.grace_period / 2;
            handle.transfer().await;
            sleep(LEADERSHIP_TRANSFER_TIME.min(settings.grace_period / 2)).await;
            handle.leave(end.saturating_duration_since(Instant::now())).await;
            if let Err(unwritten) = drain.close(end).await {
                warn!(host = host; "{unwritten}");
            }
            info!(host = host; "stopped");
            Ok(ExitCode::Success)
        }
        task = panics::essential_failed() => {
            error!(host = host, task = task; "an essential task panicked");
            Ok(ExitCode::General)
        }
        ended = &mut running.driver => {
            let reason = match ended {
                Ok(Ok(())) => "its input queue was closed".to_owned(),
                // With its causes, such as a full disk.
                Ok(Err(failure)) => format!("{:#}", anyhow::Error::from(failure)),
                Err(panic) => panic.to_string(),
            };
            error!(host = host, reason = reason.as_str(); "the replica failed");
            Ok(ExitCode::Replica)
        }
    }
}

/// Merges each new version of this host's observations into its allocator.
async fn merge_observations(
    allocator: Arc<Allocator>,
    mut observations: watch::Receiver<Arc<Observations>>,
) {
    while observations.changed().await.is_ok() {
        let newest = observations.borrow_and_update().clone();
        allocator.merge(&newest.with_current_ages());
    }
}
