//! Serves the methods that other hosts call on a host with a replica.

use {
    super::{
        Handle,
        channels::{Input, MemberStatus, Outcome},
        evacuation::{Evacuations, Order},
        method::{
            ACQUIRE_METHOD, Acquire, CONFIRM_METHOD, COPY_ORIGINS_METHOD,
            FETCH_CONFIGURATION_METHOD, FOLLOW_CONFIGURATION_METHOD, FOLLOW_OBSERVATIONS_METHOD,
            FOLLOW_TARGETS_METHOD, FollowConfiguration, FollowObservations, NO_HOST, ORDER_METHOD,
            ORIGIN_METHOD, PERMIT_METHOD, RELOCATE_METHOD, Relocate, STATUS_METHOD, SUBMIT_METHOD,
            StatusRequest, Submit, TELL_ORIGINS_METHOD, WATCH_CONFIGURATION_METHOD,
            WATCH_EVACUATIONS_METHOD, WatchEvacuations, ZONE_METHOD, ZONE_STATE_METHOD, ZoneQuery,
        },
        notifications::{NotificationContext, notification_handler},
        origins,
        register::Document,
    },
    crate::{
        allocator::{Allocator, Answer},
        distribution::{Fetch, Watch},
        limit::permit,
        metrics::Metrics,
        observations::{Followers, Observations, ObservationsSender, served::Served, update},
        observer::division::LoadsReport,
        origin::{Began, Query},
        placement::Need,
    },
    jsonrpsee::{
        RpcModule,
        core::RegisterMethodError,
        types::{ErrorCode, ErrorObjectOwned},
    },
    log::warn,
    sardinerelay::id::{Host, Zone},
    sardinerelayd::{
        control::FatalError,
        peer::{Packed, Server, SharedCounters},
    },
    std::{
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{
        sync::{mpsc, oneshot},
        time::timeout,
    },
};

/// Label of [`PERMIT_METHOD`] in metrics.
const PERMIT_LABEL: &str = "permit";
/// Label of [`ACQUIRE_METHOD`] in metrics.
const ACQUIRE_LABEL: &str = "place";
/// Label of [`RELOCATE_METHOD`] in metrics.
const RELOCATE_LABEL: &str = "move";

/// Label in metrics of an update with changes.
const DELTA_LABEL: &str = "delta";
/// Label in metrics of an update that only says that nothing changed.
const KEEP_ALIVE_LABEL: &str = "keep_alive";

/// Longest time that [`ORIGIN_METHOD`] waits for a list that is newer than the call.
const MAX_ORIGIN_WAIT: Duration = Duration::from_millis(450);
/// Time for which a voter that knows no leader, and may therefore lack the newest orders, keeps a host
/// waiting that knows none. Another voter can answer in the meantime.
const LEADERLESS_WATCH_DELAY: Duration = Duration::from_secs(1);
/// Longest time that one call may wait for a newer configuration or newer observations.
const MAX_FOLLOW_WAIT: Duration = Duration::from_secs(10);

/// State of a host with a replica that its methods use.
#[derive(Debug, Clone)]
pub struct SharedState {
    /// This host's availability zone.
    pub zone: Zone,
    /// Publishes what this host observes of targets.
    pub observations: ObservationsSender,
    /// The entry hosts that follow this host.
    pub followers: Arc<Followers>,
    /// The allocator, which entry hosts use while this host is the allocating host.
    pub allocator: Arc<Allocator>,
    /// Counters and histograms of this process.
    pub metrics: Arc<Metrics>,
    /// Takes the load reports that other voters read.
    pub loads: mpsc::Sender<LoadsReport>,
}

struct Context {
    handle: Handle,
    shared: SharedState,
    /// The observations as they are served to followers.
    served: Arc<Served>,
    counters: SharedCounters,
}

type RpcResult<T> = Result<T, ErrorObjectOwned>;

/// Starts the peer server, which serves the methods of this module.
pub(super) async fn serve(
    listen: SocketAddr,
    own_id: Host,
    handle: Handle,
    shared: SharedState,
) -> Result<Server, FatalError> {
    let counters = handle.clients.counters();
    let notifications = NotificationContext {
        own_id,
        handle: handle.clone(),
        allocator: Arc::clone(&shared.allocator),
        loads: shared.loads.clone(),
    };
    let handler = notification_handler(notifications, Arc::clone(&counters));
    let context = Context {
        handle,
        served: Served::start(shared.observations.subscribe()),
        shared,
        counters: Arc::clone(&counters),
    };
    // Registering fails only for a name that is registered twice.
    let methods = methods(context).map_err(|_| FatalError::Panic)?;
    Server::start(listen, None, (methods, handler), counters)
        .await
        .map_err(|source| FatalError::Listen {
            address: listen,
            source,
        })
}

fn methods(context: Context) -> Result<RpcModule<Context>, RegisterMethodError> {
    let mut module = RpcModule::new(context);
    module.register_async_method(SUBMIT_METHOD, |parameters, context, _| async move {
        let Submit { document } = context.counters.parse_call(&parameters)?;
        let input = |reply| Input::Submit(document.0, reply);
        RpcResult::Ok(context.handle.call_local(input).await)
    })?;
    module.register_async_method(CONFIRM_METHOD, |_, context, _| async move {
        RpcResult::<Outcome>::Ok(context.handle.call_local(Input::Confirm).await)
    })?;
    module.register_async_method(ZONE_STATE_METHOD, |parameters, context, _| async move {
        let ZoneQuery { zone } = context.counters.parse_call(&parameters)?;
        RpcResult::Ok(context.handle.confirmed_revision(&zone).await)
    })?;
    module.register_async_method(ORDER_METHOD, |parameters, context, _| async move {
        let order: Order = context.counters.parse_call(&parameters)?;
        let input = |reply| Input::Order(order, reply);
        RpcResult::Ok(context.handle.call_local(input).await)
    })?;
    module.register_async_method(
        WATCH_EVACUATIONS_METHOD,
        |parameters, context, _| async move {
            let watch: WatchEvacuations = context.counters.parse_call(&parameters)?;
            RpcResult::Ok(watch_evacuations(&context.handle, &watch).await)
        },
    )?;
    module.register_async_method(STATUS_METHOD, |parameters, context, _| async move {
        let request: StatusRequest = context.counters.parse_call(&parameters)?;
        RpcResult::Ok(status(&context.handle, request).await)
    })?;
    module.register_async_method(
        FOLLOW_CONFIGURATION_METHOD,
        |parameters, context, _| async move {
            let follow: FollowConfiguration = context.counters.parse_call(&parameters)?;
            context.shared.followers.record(&follow.host);
            RpcResult::Ok(follow_configuration(&context.handle, &follow).await)
        },
    )?;
    module.register_async_method(
        WATCH_CONFIGURATION_METHOD,
        |parameters, context, _| async move {
            let watch: Watch = context.counters.parse_call(&parameters)?;
            context.shared.followers.record(&watch.host);
            let wait = capped_wait(watch.wait_ms);
            let publisher = &context.handle.publisher;
            RpcResult::Ok(publisher.wait_for_newer(watch.version, wait).await)
        },
    )?;
    module.register_async_method(
        FETCH_CONFIGURATION_METHOD,
        |parameters, context, _| async move {
            let fetch: Fetch = context.counters.parse_call(&parameters)?;
            context.handle.publisher.piece(&fetch).map_err(|error| {
                warn!(reason:% = error; "a configuration can't be encoded for entry hosts");
                ErrorObjectOwned::from(ErrorCode::InternalError)
            })
        },
    )?;
    module.register_async_method(
        FOLLOW_OBSERVATIONS_METHOD,
        |parameters, context, _| async move {
            let follow: FollowObservations = context.counters.parse_call(&parameters)?;
            RpcResult::Ok(follow_observations(&context.shared.observations, &follow).await)
        },
    )?;
    module.register_async_method(FOLLOW_TARGETS_METHOD, |parameters, context, _| async move {
        let Packed(request): Packed<update::Request> = context.counters.parse_call(&parameters)?;
        RpcResult::Ok(follow_targets(&context, &request).await)
    })?;
    module.register_async_method(ZONE_METHOD, |_, context, _| async move {
        RpcResult::Ok(context.shared.zone.clone())
    })?;
    module.register_async_method(ACQUIRE_METHOD, |parameters, context, _| async move {
        let Packed(acquire): Packed<Acquire> = context.counters.parse_call(&parameters)?;
        let Acquire {
            run,
            need,
            remaining,
            max_wait,
            build,
            homes,
        } = acquire;
        let need = Need {
            build,
            homes,
            ..need
        };
        let began = Instant::now();
        let allocator = &context.shared.allocator;
        let reply = allocator
            .acquire(run, need, began + remaining, max_wait)
            .await;
        let metrics = &context.shared.metrics;
        metrics.record_request(ACQUIRE_LABEL, reply.label(), began.elapsed());
        RpcResult::Ok(Packed(Answer::from(reply)))
    })?;
    module.register_async_method(RELOCATE_METHOD, |parameters, context, _| async move {
        let Packed(relocate): Packed<Relocate> = context.counters.parse_call(&parameters)?;
        let Relocate {
            mut departure,
            max_wait,
            homes,
        } = relocate;
        departure.need.homes = homes;
        let began = Instant::now();
        let reply = context.shared.allocator.relocate(departure, max_wait).await;
        let metrics = &context.shared.metrics;
        metrics.record_request(RELOCATE_LABEL, reply.label(), began.elapsed());
        RpcResult::Ok(Packed(Answer::from(reply)))
    })?;
    module.register_async_method(ORIGIN_METHOD, |parameters, context, _| async move {
        let query: Query = context.counters.parse_call(&parameters)?;
        let allocator = &context.shared.allocator;
        let origin = allocator.find_origin(&query, MAX_ORIGIN_WAIT).await;
        if origin.is_none() && !allocator.state().origins.is_complete() {
            warn!(stream = query.stream.as_str(); "it isn't known yet which build began a stream");
            return Err(ErrorObjectOwned::from(ErrorCode::ServerIsBusy));
        }
        RpcResult::Ok(origin.map(|(build, _)| build))
    })?;
    module.register_async_method(TELL_ORIGINS_METHOD, |parameters, context, _| async move {
        let Packed(streams): Packed<Vec<Began>> = context.counters.parse_call(&parameters)?;
        let allocator = &context.shared.allocator;
        origins::record(allocator, &streams);
        RpcResult::Ok(allocator.state().origins.incarnation())
    })?;
    module.register_async_method(COPY_ORIGINS_METHOD, |parameters, context, _| async move {
        let request: origins::PageRequest = context.counters.parse_call(&parameters)?;
        RpcResult::Ok(Packed(origins::page(&context.shared.allocator, &request)))
    })?;
    module.register_async_method(PERMIT_METHOD, |parameters, context, _| async move {
        let Packed(request): Packed<permit::Request> = context.counters.parse_call(&parameters)?;
        let began = Instant::now();
        let reply = context.shared.allocator.grant(&request);
        let metrics = &context.shared.metrics;
        metrics.record_request(PERMIT_LABEL, reply.label(), began.elapsed());
        RpcResult::Ok(Packed(reply))
    })?;
    Ok(module)
}

/// Returns the status of the group and of a host. That a host isn't a member is said as the leader
/// only after a quorum has confirmed the leadership, because the host then deletes its replica.
async fn status(handle: &Handle, request: StatusRequest) -> MemberStatus {
    let status = local_status(handle, &request).await;
    let denies_membership = status.is_leader && !status.is_member;
    if !denies_membership || request.is_joining || request.host == NO_HOST {
        return status;
    }
    match handle.call_local(Input::Confirm).await {
        Outcome::Done(_) => local_status(handle, &request).await,
        Outcome::NotLeader(_) | Outcome::Unknown => MemberStatus {
            is_leader: false,
            ..status
        },
    }
}

async fn local_status(handle: &Handle, request: &StatusRequest) -> MemberStatus {
    let (reply, status) = oneshot::channel();
    let input = match request {
        StatusRequest {
            is_joining: true, ..
        } => Input::Join(request.host, request.is_founding, reply),
        StatusRequest {
            is_leaving: true, ..
        } => Input::Leave(request.host, reply),
        _ => Input::Status(request.host, reply),
    };
    if handle.inputs.send(input).await.is_err() {
        return MemberStatus::default();
    }
    status.await.unwrap_or_default()
}

async fn follow_configuration(
    handle: &Handle,
    follow: &FollowConfiguration,
) -> Option<Packed<Document>> {
    let mut newest = handle.newest();
    let is_newer = |document: &Option<Arc<Document>>| {
        document
            .as_ref()
            .is_some_and(|document| document.version > follow.version)
    };
    let found = timeout(capped_wait(follow.wait_ms), newest.wait_for(is_newer)).await;
    let document = found.ok()?.ok()?.clone()?;
    Some(Packed(Document::clone(&document)))
}

async fn watch_evacuations(handle: &Handle, watch: &WatchEvacuations) -> Option<Evacuations> {
    let began = Instant::now();
    let wait = capped_wait(watch.wait_ms);
    if watch.known.is_none() {
        let mut leadership = handle.leadership.clone();
        let has_leader = leadership.wait_for(|soft| soft.leader.is_some());
        // Without a leader, what this voter knows is better than nothing.
        let _ = timeout(wait.min(LEADERLESS_WATCH_DELAY), has_leader).await;
    }
    let mut newest = handle.evacuations.clone();
    let is_newer = |evacuations: &Option<Arc<Evacuations>>| {
        let newest = evacuations.as_ref();
        newest.is_some_and(|newest| watch.known.is_none_or(|known| newest.revision > known))
    };
    let remaining = wait.saturating_sub(began.elapsed());
    let found = timeout(remaining, newest.wait_for(is_newer)).await;
    let evacuations = found.ok()?.ok()?.clone()?;
    Some(Evacuations::clone(&evacuations))
}

async fn follow_observations(
    published: &ObservationsSender,
    follow: &FollowObservations,
) -> Option<Packed<Observations>> {
    let mut newest = published.subscribe();
    let is_due = |observations: &Arc<Observations>| observations.is_due(follow.stamp);
    let found = timeout(capped_wait(follow.wait_ms), newest.wait_for(is_due)).await;
    let observations = found.ok()?.ok()?.clone();
    Some(Packed(observations.with_current_ages()))
}

async fn follow_targets(context: &Context, request: &update::Request) -> Option<serde_json::Value> {
    let wait = capped_wait(request.wait_ms);
    let (update, reason) = context.served.next(request, wait).await?;
    let kind = match (reason, &update.changes) {
        (Some(reason), _) => reason.label(),
        (None, Some(_)) => DELTA_LABEL,
        (None, None) => KEEP_ALIVE_LABEL,
    };
    // Encoding fails only for a value that can't be serialized, and updates can.
    let encoded = serde_json::to_value(Packed(update)).ok()?;
    let bytes = encoded.as_str().map_or(0, str::len);
    context.shared.metrics.record_update(kind, bytes);
    Some(encoded)
}

fn capped_wait(wait_ms: u64) -> Duration {
    Duration::from_millis(wait_ms).min(MAX_FOLLOW_WAIT)
}
