//! The handle through which the rest of the daemon uses the control thread.

use {
    super::{
        Error, FatalError, Leadership, PublishedView, Settings, Status, distribution,
        message::Input,
        start::{Running, Shared, start},
    },
    crate::peer::Traffic,
    log::{debug, info},
    sardinerelay::{
        raft::{Change, Role},
        state::{Command, Reply},
    },
    std::{
        fmt,
        sync::{Arc, Mutex, PoisonError, atomic::Ordering, mpsc},
        thread::{Builder, JoinHandle},
        time::Duration,
    },
    tokio::{
        runtime::{self, Runtime},
        sync::{oneshot, watch},
        time::{Instant, sleep},
    },
};

/// Interval of the checks whether another host has taken over leadership.
const TRANSFER_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A handle to the control thread. The thread ends when the last handle is dropped.
#[derive(Clone)]
pub struct Handle {
    shared: Arc<Shared>,
    runtime: runtime::Handle,
    thread: Arc<Thread>,
    ended: watch::Receiver<Option<Arc<Result<(), FatalError>>>>,
}

impl fmt::Debug for Handle {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("Handle")
            .field("host", &self.shared.settings.host)
            .finish_non_exhaustive()
    }
}

/// The control thread, which is told to stop when the last handle is dropped.
#[derive(Debug)]
struct Thread {
    stop: watch::Sender<bool>,
    join: Mutex<Option<JoinHandle<()>>>,
}

impl Drop for Thread {
    fn drop(&mut self) {
        self.stop.send_replace(true);
    }
}

type StartResult = Result<(Arc<Shared>, runtime::Handle), FatalError>;
type EndedSender = watch::Sender<Option<Arc<Result<(), FatalError>>>>;

/// Starts the control thread. Blocks the caller until the files are open and the address for other
/// hosts is bound.
///
/// # Errors
///
/// The [`FatalError`] for which the process must exit.
pub fn spawn(settings: Settings) -> Result<Handle, FatalError> {
    let (report, started) = mpsc::channel();
    let (stop, stopping) = watch::channel(false);
    let (ended_sender, ended) = watch::channel(None);
    let join = Builder::new()
        .name("control".to_owned())
        .spawn(move || run(settings, &report, stopping, &ended_sender))
        .map_err(FatalError::Thread)?;
    let (shared, runtime) = started.recv().map_err(|_| FatalError::Panic)??;
    Ok(Handle {
        shared,
        runtime,
        thread: Arc::new(Thread {
            stop,
            join: Mutex::new(Some(join)),
        }),
        ended,
    })
}

/// The thread's main function: starts the tasks, reports the result to [`spawn`], and runs them.
fn run(
    settings: Settings,
    report: &mpsc::Sender<StartResult>,
    stopping: watch::Receiver<bool>,
    ended_sender: &EndedSender,
) {
    let runtime = runtime::Builder::new_current_thread().enable_all().build();
    let started = runtime
        .map_err(FatalError::Thread)
        .and_then(|runtime| Ok((runtime.block_on(start(settings))?, runtime)));
    match started {
        Ok((running, runtime)) => {
            let shared = Arc::clone(&running.shared);
            // `spawn` waits for this message, so its receiver exists.
            let _ = report.send(Ok((shared, runtime.handle().clone())));
            ended_sender.send_replace(Some(Arc::new(serve(running, runtime, stopping))));
        }
        Err(error) => {
            let _ = report.send(Err(error));
        }
    }
}

/// Runs until a task ends or a stop is requested. The files are closed when it returns.
fn serve(
    mut running: Running,
    runtime: Runtime,
    mut stopping: watch::Receiver<bool>,
) -> Result<(), FatalError> {
    let result = runtime.block_on(async {
        tokio::select! {
            ended = running.tasks.join_next() => match ended {
                Some(Ok(result)) => result,
                Some(Err(_)) => Err(FatalError::Panic),
                None => Ok(()),
            },
            _ = stopping.wait_for(|stop| *stop) => Ok(()),
        }
    });
    drop(running);
    drop(runtime);
    result
}

impl Handle {
    /// Proposes a command to the leader, on whichever host it runs, and waits until the command is
    /// applied.
    ///
    /// # Errors
    ///
    /// [`Error::is_not_committed`] tells whether the command is known to have no effect.
    pub async fn propose(&self, command: Command, timeout: Duration) -> Result<Reply, Error> {
        self.on_thread(move |shared| async move {
            shared
                .proposer
                .propose(&shared.leader, command, timeout)
                .await
        })
        .await
    }

    /// Returns the view in force, which includes every change that was committed before this call.
    ///
    /// # Errors
    ///
    /// [`Error::Unconfirmed`] or [`Error::Ended`].
    pub async fn read(&self, timeout: Duration) -> Result<Arc<PublishedView>, Error> {
        self.on_thread(move |shared| async move {
            let deadline = Instant::now() + timeout;
            let version = shared.leader.confirm(timeout).await?;
            let remaining = deadline.saturating_duration_since(Instant::now());
            distribution::await_version(&mut shared.published.clone(), version, remaining)
                .await
                .ok_or(Error::Unconfirmed { timeout })
        })
        .await
    }

    /// Returns a receiver of the view in force on this host and of its changes.
    pub fn published(&self) -> watch::Receiver<Arc<PublishedView>> {
        self.shared.published.clone()
    }

    /// Returns the state of the control thread.
    ///
    /// # Errors
    ///
    /// [`Error::Ended`].
    pub async fn status(&self) -> Result<Status, Error> {
        self.on_thread(|shared| async move { shared.status().await })
            .await
    }

    /// Returns the term and lease in which this host leads. `None` if it doesn't lead or has not
    /// yet committed an entry in its term.
    pub async fn leadership(&self) -> Option<Leadership> {
        let leadership =
            self.on_thread(|shared| async move { shared.ask(Input::Leadership).await });
        leadership.await.ok().flatten()
    }

    /// Bytes and messages of the connections between hosts.
    pub fn traffic(&self) -> Traffic {
        self.shared.counters.traffic()
    }

    /// Changes the membership by one replica, if this host leads. When this returns, the change has
    /// been appended to the log; [`Handle::status`] shows when it is committed.
    ///
    /// # Errors
    ///
    /// [`Error::NotLeader`], [`Error::Change`] or [`Error::Ended`].
    pub async fn change_membership(&self, change: Change) -> Result<(), Error> {
        self.on_thread(move |shared| async move {
            let answer = shared.ask(|reply| Input::Change(change, reply)).await?;
            answer.map_err(|error| match error {
                sardinerelay::raft::RequestError::NotLeader { leader } => {
                    Error::NotLeader { leader }
                }
                error => Error::Change(error),
            })
        })
        .await
    }

    /// Records that this process leaves, transfers leadership, and ends the thread. Steps that
    /// don't succeed within the deadline are skipped, since the group works without them.
    pub async fn stop(self, timeout: Duration) {
        let leave = Command::LeaveHost {
            host: self.shared.settings.host,
            incarnation: self.shared.settings.incarnation,
        };
        if let Err(error) = self.propose(leave, timeout / 2).await {
            info!("stopping although the leave could not be recorded: {error}");
        }
        let transferred = self.on_thread(move |shared| async move {
            shared.transfer(timeout / 2).await;
            Ok(())
        });
        // An error means that the thread has ended already.
        let _ = transferred.await;
        self.abort().await;
    }

    /// Ends the thread at once, without recording a leave, and waits until its files are closed.
    pub async fn abort(self) {
        self.thread.stop.send_replace(true);
        let thread = Arc::clone(&self.thread);
        let join = tokio::task::spawn_blocking(move || {
            let join = thread
                .join
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .take();
            join.map(JoinHandle::join)
        });
        // `ended` reports a panic of the thread.
        let _ = join.await;
    }

    /// Waits until the thread ends. Returns `Ok` after a stop, else the error for which the process
    /// must exit.
    pub async fn ended(&self) -> Arc<Result<(), FatalError>> {
        let mut ended = self.ended.clone();
        let result = match ended.wait_for(Option::is_some).await {
            Ok(result) => result.clone(),
            Err(_) => None,
        };
        result.unwrap_or_else(|| Arc::new(Err(FatalError::Panic)))
    }

    /// The state that the control thread's tasks share.
    pub(super) fn shared(&self) -> &Shared {
        &self.shared
    }

    /// Runs a future on the control thread, where it goes on even if the caller is dropped. Returns
    /// [`Error::Ended`] if the future does not run to its end.
    pub(super) async fn on_thread<T, Make, Made>(&self, make: Make) -> Result<T, Error>
    where
        Make: FnOnce(Arc<Shared>) -> Made,
        Made: Future<Output = Result<T, Error>> + Send + 'static,
        T: Send + 'static,
    {
        let task = self.runtime.spawn(make(Arc::clone(&self.shared)));
        task.await.unwrap_or(Err(Error::Ended))
    }
}

impl Shared {
    /// Sends a request to this host's replica and waits for the reply.
    async fn ask<T, Make>(&self, make: Make) -> Result<T, Error>
    where
        Make: FnOnce(oneshot::Sender<T>) -> Input,
    {
        let replica = self
            .replica
            .as_ref()
            .ok_or(Error::NotLeader { leader: None })?;
        let (reply, answer) = oneshot::channel();
        replica.send(make(reply)).await.map_err(|_| Error::Ended)?;
        answer.await.map_err(|_| Error::Ended)
    }

    async fn status(&self) -> Result<Status, Error> {
        let replica = match self.replica {
            Some(_) => Some(self.ask(Input::Status).await?),
            None => None,
        };
        let published = self.published.borrow().clone();
        let upstream = self.upstream.load(Ordering::Relaxed);
        Ok(Status {
            host: self.settings.host,
            replica,
            version: published.version,
            confirmed: published.confirmed,
            cut_off: self.local_view.is_cut_off(),
            upstream: (upstream != 0).then_some(upstream),
        })
    }

    /// Transfers leadership if this host leads, and waits until it no longer does.
    async fn transfer(&self, timeout: Duration) {
        let deadline = Instant::now() + timeout;
        match self.ask(Input::Transfer).await {
            Ok(Ok(to)) => debug!("transferring leadership to host {to}"),
            _ => return,
        }
        while Instant::now() < deadline && self.is_leader().await {
            sleep(TRANSFER_POLL_INTERVAL).await;
        }
    }

    async fn is_leader(&self) -> bool {
        let status = self.ask(Input::Status).await;
        status.is_ok_and(|status| status.role == Role::Leader)
    }
}
