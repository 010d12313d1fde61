//! The methods that other hosts call on a host with a replica.

use {
    super::{
        Handle,
        driver::{Input, Outcome, Standing},
        register::Document,
        report::Report,
    },
    crate::{
        allocator::Allocator,
        metrics::Metrics,
        moves::Departure,
        observations::{Followers, Observations, ObservationsSender},
        placement::Need,
        targets::RunId,
    },
    compact_str::CompactString,
    jsonrpsee::{RpcModule, core::RegisterMethodError, types::ErrorObjectOwned},
    log::{debug, warn},
    sardinerelay::id::{Host, Version},
    sardinerelayd::{
        control::FatalError,
        peer::{NotificationHandler, Packed, STEP, Server, SharedCounters, Step},
    },
    serde::{Deserialize, Serialize},
    std::{
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{sync::oneshot, time::timeout},
};

pub(super) const SUBMIT: &str = "register.submit";
pub(super) const CONFIRM: &str = "register.confirm";
/// Asks for the standing of a host, and to join.
pub const STANDING: &str = "group.standing";
/// Waits for a newer configuration.
pub const FOLLOW_CONFIGURATION: &str = "configuration.follow";
/// Waits for newer observations of targets.
pub const FOLLOW_BOARD: &str = "board.follow";

/// Asks for a place for a generation.
pub const ACQUIRE: &str = "place.acquire";
/// Asks for an engine to which a generation moves.
pub const RELOCATE: &str = "place.relocate";
/// Tells what became of places.
pub const REPORT: &str = "place.report";
/// The name of requests for a place in metrics.
const PLACE: &str = "place";
/// The name of requests for an engine to move to in metrics.
const MOVE: &str = "move";

/// The longest time that a follower waits for news.
const LONGEST_WAIT: Duration = Duration::from_secs(10);

#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Submit {
    pub(super) document: Packed<Document>,
}

#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Ask {
    pub(super) host: Host,
    pub(super) joining: bool,
    pub(super) founding: bool,
}

/// Parameters of [`FOLLOW_CONFIGURATION`]. The answer is nothing if the wait ends without news.
#[derive(Debug, Serialize, Deserialize)]
pub struct FollowConfiguration {
    /// The entry host that follows.
    pub host: CompactString,
    /// The version that the follower has; 0 for none.
    pub version: Version,
    /// Time to wait for a newer one, in milliseconds.
    pub wait_ms: u64,
}

/// Parameters of [`FOLLOW_BOARD`].
#[derive(Debug, Serialize, Deserialize)]
pub struct FollowBoard {
    /// The board that the follower has, as its stamp.
    pub stamp: u64,
    /// Time to wait for a newer one, in milliseconds.
    pub wait_ms: u64,
}

/// Parameters of [`ACQUIRE`].
#[derive(Debug, Serialize, Deserialize)]
pub struct Acquire {
    /// The request's number, unique among all hosts.
    pub run: RunId,
    /// What it needs.
    pub need: Need,
    /// Time that it may wait.
    pub left: Duration,
    /// Time to wait in this call.
    pub wait: Duration,
}

/// Parameters of [`RELOCATE`].
#[derive(Debug, Serialize, Deserialize)]
pub struct Relocate {
    /// What moves.
    pub departure: Departure,
    /// Time to wait in this call.
    pub wait: Duration,
}

/// What a host with a replica observes, for entry hosts.
#[derive(Debug, Clone)]
pub struct Observed {
    /// Its board.
    pub board: ObservationsSender,
    /// The entry hosts that follow it.
    pub followers: Arc<Followers>,
    /// Its allocator.
    pub allocator: Arc<Allocator>,
    /// Counters and histograms.
    pub metrics: Arc<Metrics>,
}

struct Context {
    handle: Handle,
    observed: Observed,
    counters: SharedCounters,
}

type Answer<T> = Result<T, ErrorObjectOwned>;

pub(super) async fn serve(
    listen: SocketAddr,
    own: Host,
    handle: Handle,
    observed: Observed,
) -> Result<Server, FatalError> {
    let counters = handle.clients.counters();
    let incoming = Incoming {
        own,
        handle: handle.clone(),
        allocator: Arc::clone(&observed.allocator),
    };
    let receiver = receiver(incoming, Arc::clone(&counters));
    let context = Context {
        handle,
        observed,
        counters: Arc::clone(&counters),
    };
    // Registering fails only for a name that is used twice.
    let methods = methods(context).map_err(|_| FatalError::Panic)?;
    Server::start(listen, None, (methods, receiver), counters)
        .await
        .map_err(|source| FatalError::Listen {
            address: listen,
            source,
        })
}

fn methods(context: Context) -> Result<RpcModule<Context>, RegisterMethodError> {
    let mut module = RpcModule::new(context);
    module.register_async_method(SUBMIT, |parameters, context, _| async move {
        let Submit { document } = context.counters.parse_call(&parameters)?;
        let input = |reply| Input::Submit(document.0, reply);
        Answer::Ok(context.handle.local(input).await)
    })?;
    module.register_async_method(CONFIRM, |_, context, _| async move {
        Answer::<Outcome>::Ok(context.handle.local(Input::Confirm).await)
    })?;
    module.register_async_method(STANDING, |parameters, context, _| async move {
        let ask: Ask = context.counters.parse_call(&parameters)?;
        Answer::Ok(standing(&context.handle, ask).await)
    })?;
    module.register_async_method(FOLLOW_CONFIGURATION, |parameters, context, _| async move {
        let follow: FollowConfiguration = context.counters.parse_call(&parameters)?;
        context.observed.followers.record(&follow.host);
        Answer::Ok(configuration(&context.handle, &follow).await)
    })?;
    module.register_async_method(FOLLOW_BOARD, |parameters, context, _| async move {
        let follow: FollowBoard = context.counters.parse_call(&parameters)?;
        Answer::Ok(board(&context.observed.board, &follow).await)
    })?;
    module.register_async_method(ACQUIRE, |parameters, context, _| async move {
        let Packed(acquire): Packed<Acquire> = context.counters.parse_call(&parameters)?;
        let Acquire {
            run,
            need,
            left,
            wait,
        } = acquire;
        let began = Instant::now();
        let allocator = &context.observed.allocator;
        let answer = allocator.acquire(run, need, began + left, wait).await;
        let metrics = &context.observed.metrics;
        metrics.record_request(PLACE, answer.label(), began.elapsed());
        Answer::Ok(Packed(answer))
    })?;
    module.register_async_method(RELOCATE, |parameters, context, _| async move {
        let Packed(relocate): Packed<Relocate> = context.counters.parse_call(&parameters)?;
        let Relocate { departure, wait } = relocate;
        let began = Instant::now();
        let answer = context.observed.allocator.relocate(departure, wait).await;
        let metrics = &context.observed.metrics;
        metrics.record_request(MOVE, answer.label(), began.elapsed());
        Answer::Ok(Packed(answer))
    })?;
    Ok(module)
}

async fn standing(handle: &Handle, ask: Ask) -> Standing {
    let (reply, answer) = oneshot::channel();
    let input = match ask.joining {
        true => Input::Join(ask.host, ask.founding, reply),
        false => Input::Standing(ask.host, reply),
    };
    if handle.inputs.send(input).await.is_err() {
        return Standing::default();
    }
    answer.await.unwrap_or_default()
}

async fn configuration(handle: &Handle, follow: &FollowConfiguration) -> Option<Packed<Document>> {
    let mut newest = handle.newest();
    let newer = |held: &Option<Arc<Document>>| {
        held.as_ref()
            .is_some_and(|held| held.version > follow.version)
    };
    let found = timeout(wait(follow.wait_ms), newest.wait_for(newer)).await;
    let document = found.ok()?.ok()?.clone()?;
    Some(Packed(Document::clone(&document)))
}

async fn board(
    published: &ObservationsSender,
    follow: &FollowBoard,
) -> Option<Packed<Observations>> {
    let mut boards = published.subscribe();
    let newer = |board: &Arc<Observations>| board.is_due(follow.stamp);
    let found = timeout(wait(follow.wait_ms), boards.wait_for(newer)).await;
    let board = found.ok()?.ok()?.clone();
    Some(Packed(board.with_current_ages()))
}

fn wait(wait_ms: u64) -> Duration {
    Duration::from_millis(wait_ms).min(LONGEST_WAIT)
}

/// Whom notifications are for.
struct Incoming {
    own: Host,
    handle: Handle,
    allocator: Arc<Allocator>,
}

/// Hands notifications on. Messages to the replica are dropped while its queue is full, as on a
/// lossy link.
fn receiver(incoming: Incoming, counters: SharedCounters) -> NotificationHandler {
    NotificationHandler::new(move |method, parameters| {
        counters.count_received();
        let taken = match method {
            STEP => incoming.step(parameters),
            REPORT => incoming.reports(parameters),
            _ => Ok(()),
        };
        if let Err(error) = taken {
            warn!(method = method, reason:% = error; "a notification can't be read");
        }
    })
}

impl Incoming {
    fn step(&self, parameters: &str) -> Result<(), serde_json::Error> {
        let (step,): (Step,) = serde_json::from_str(parameters)?;
        let Step { from, to, messages } = step;
        if to != self.own {
            debug!("messages from replica {from} are for replica {to}, which ran here before");
            return Ok(());
        }
        if let Err(error) = self.handle.inputs.try_send(Input::Step(from, messages.0)) {
            debug!("messages from replica {from} are dropped: {error}");
        }
        Ok(())
    }

    fn reports(&self, parameters: &str) -> Result<(), serde_json::Error> {
        let (Packed(reports),): (Packed<Vec<Report>>,) = serde_json::from_str(parameters)?;
        for report in reports {
            match report {
                Report::Sent(note) => {
                    let mut state = self.allocator.state();
                    state.targets.record_remote_send(&note, Instant::now());
                }
                Report::Full(target) => {
                    self.allocator
                        .state()
                        .targets
                        .record_no_room(&target, Instant::now());
                }
                Report::Started(run) => self.allocator.record_prompt_read(run),
                Report::Ended(run) => self.allocator.release(run),
                Report::Moved(run, arrived) => self.allocator.finish_move(run, arrived),
            }
        }
        Ok(())
    }
}
