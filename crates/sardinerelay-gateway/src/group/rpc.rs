//! The methods that other hosts call on a host with a replica.

use {
    super::{
        Handle,
        driver::{Input, Outcome, Standing},
        hub::{Hub, Note},
        register::Document,
    },
    crate::board::{Board, Followers, Published},
    compact_str::CompactString,
    jsonrpsee::{
        RpcModule,
        core::RegisterMethodError,
        types::{ErrorObjectOwned, Params},
    },
    log::{debug, warn},
    sardinerelay::id::{Host, Version},
    sardinerelayd::{
        control::Failure,
        peer::{Packed, Receiver, STEP, Server, SharedCounters, Step},
    },
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    std::{net::SocketAddr, sync::Arc, time::Duration},
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

/// Tells what was sent to engines.
pub const NOTE: &str = "notes.add";
/// Waits for such notes.
pub const FOLLOW_NOTES: &str = "notes.follow";

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

/// Parameters of [`FOLLOW_NOTES`].
#[derive(Debug, Serialize, Deserialize)]
pub struct FollowNotes {
    /// The number of the first note that the follower lacks.
    pub since: u64,
    /// Time to wait for it, in milliseconds.
    pub wait_ms: u64,
}

struct Context {
    handle: Handle,
    board: Published,
    followers: Arc<Followers>,
    hub: Arc<Hub>,
    counters: SharedCounters,
}

type Answer<T> = Result<T, ErrorObjectOwned>;

pub(super) async fn serve(
    listen: SocketAddr,
    own: Host,
    handle: Handle,
    (board, followers): (Published, Arc<Followers>),
) -> Result<Server, Failure> {
    let counters = handle.clients.counters();
    let hub = Arc::new(Hub::default());
    let receiver = receiver(own, handle.clone(), Arc::clone(&hub), Arc::clone(&counters));
    let context = Context {
        handle,
        board,
        followers,
        hub,
        counters: Arc::clone(&counters),
    };
    // Registering fails only for a name that is used twice.
    let methods = methods(context).map_err(|_| Failure::Panic)?;
    Server::start(listen, None, (methods, receiver), counters)
        .await
        .map_err(|source| Failure::Listen {
            address: listen,
            source,
        })
}

fn methods(context: Context) -> Result<RpcModule<Context>, RegisterMethodError> {
    let mut module = RpcModule::new(context);
    module.register_async_method(SUBMIT, |parameters, context, _| async move {
        let Submit { document } = context.read(&parameters)?;
        let input = |reply| Input::Submit(document.0, reply);
        Answer::Ok(context.handle.local(input).await)
    })?;
    module.register_async_method(CONFIRM, |_, context, _| async move {
        Answer::<Outcome>::Ok(context.handle.local(Input::Confirm).await)
    })?;
    module.register_async_method(STANDING, |parameters, context, _| async move {
        let ask: Ask = context.read(&parameters)?;
        Answer::Ok(standing(&context.handle, ask).await)
    })?;
    module.register_async_method(FOLLOW_CONFIGURATION, |parameters, context, _| async move {
        let follow: FollowConfiguration = context.read(&parameters)?;
        context.followers.seen(&follow.host);
        Answer::Ok(configuration(&context.handle, &follow).await)
    })?;
    module.register_async_method(FOLLOW_BOARD, |parameters, context, _| async move {
        let follow: FollowBoard = context.read(&parameters)?;
        Answer::Ok(board(&context.board, &follow).await)
    })?;
    module.register_async_method(FOLLOW_NOTES, |parameters, context, _| async move {
        let follow: FollowNotes = context.read(&parameters)?;
        let wait = wait(follow.wait_ms);
        Answer::Ok(Packed(context.hub.follow(follow.since, wait).await))
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

async fn board(published: &Published, follow: &FollowBoard) -> Option<Packed<Board>> {
    let mut boards = published.subscribe();
    let newer = |board: &Arc<Board>| board.stamp != follow.stamp && board.stamp != 0;
    let found = timeout(wait(follow.wait_ms), boards.wait_for(newer)).await;
    let board = found.ok()?.ok()?.clone();
    Some(Packed(board.aged()))
}

fn wait(wait_ms: u64) -> Duration {
    Duration::from_millis(wait_ms).min(LONGEST_WAIT)
}

/// Hands messages to the replica. They are dropped while its queue is full, as on a lossy link.
fn receiver(own: Host, handle: Handle, hub: Arc<Hub>, counters: SharedCounters) -> Receiver {
    Receiver::new(move |method, parameters| {
        counters.count_received();
        if method == NOTE {
            match serde_json::from_str::<(Packed<Vec<Note>>,)>(parameters) {
                Ok((Packed(notes),)) => hub.add(notes),
                Err(error) => warn!("notes of an entry host can't be read: {error}"),
            }
            return;
        }
        if method != STEP {
            return;
        }
        match serde_json::from_str::<(Step,)>(parameters) {
            Ok((Step { from, to, .. },)) if to != own => {
                debug!("messages from replica {from} are for replica {to}, which ran here before");
            }
            Ok((Step { from, messages, .. },)) => {
                if let Err(error) = handle.inputs.try_send(Input::Step(from, messages.0)) {
                    debug!("messages from replica {from} are dropped: {error}");
                }
            }
            Err(error) => warn!("messages of another host can't be read: {error}"),
        }
    })
}

impl Context {
    fn read<P>(&self, parameters: &Params<'_>) -> Answer<P>
    where
        P: DeserializeOwned,
    {
        self.counters.count_received();
        parameters.parse::<(P,)>().map(|(parameter,)| parameter)
    }
}
