//! The handle by which the rest of the daemon uses the control thread.

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

/// Pause between looks at whether leadership has gone to another host.
const LOOK: Duration = Duration::from_millis(20);

/// The control thread. It ends when the last handle is dropped.
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

type Started = Result<(Arc<Shared>, runtime::Handle), FatalError>;
type Ended = watch::Sender<Option<Arc<Result<(), FatalError>>>>;

/// Starts the control thread. It returns once files are open and the peer address is bound, and
/// blocks its caller until then.
///
/// # Errors
///
/// [`FatalError`].
pub fn spawn(settings: Settings) -> Result<Handle, FatalError> {
    let (report, started) = mpsc::channel();
    let (stop, stopping) = watch::channel(false);
    let (end, ended) = watch::channel(None);
    let join = Builder::new()
        .name("control".to_owned())
        .spawn(move || run(settings, &report, stopping, &end))
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

fn run(
    settings: Settings,
    report: &mpsc::Sender<Started>,
    stopping: watch::Receiver<bool>,
    end: &Ended,
) {
    let runtime = runtime::Builder::new_current_thread().enable_all().build();
    let started = runtime
        .map_err(FatalError::Thread)
        .and_then(|runtime| Ok((runtime.block_on(start(settings))?, runtime)));
    match started {
        Ok((running, runtime)) => {
            let shared = Arc::clone(&running.shared);
            // The caller of `spawn` waits for this.
            let _ = report.send(Ok((shared, runtime.handle().clone())));
            end.send_replace(Some(Arc::new(serve(running, runtime, stopping))));
        }
        Err(failure) => {
            let _ = report.send(Err(failure));
        }
    }
}

/// Runs until a task ends or a stop is asked for. The files are closed when it returns.
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
    /// Has a command committed and applied, by whichever host leads.
    ///
    /// # Errors
    ///
    /// [`Error::is_not_committed`] tells whether the command certainly has no effect.
    pub async fn propose(&self, command: Command, deadline: Duration) -> Result<Reply, Error> {
        self.on_thread(move |shared| async move {
            shared
                .proposer
                .propose(&shared.leader, command, deadline)
                .await
        })
        .await
    }

    /// What is in force, no older than any change that was committed before this call.
    ///
    /// # Errors
    ///
    /// [`Error::Unconfirmed`] or [`Error::Ended`].
    pub async fn read(&self, deadline: Duration) -> Result<Arc<PublishedView>, Error> {
        self.on_thread(move |shared| async move {
            let end = Instant::now() + deadline;
            let version = shared.leader.confirm(deadline).await?;
            let left = end.saturating_duration_since(Instant::now());
            distribution::reached(&mut shared.published.clone(), version, left)
                .await
                .ok_or(Error::Unconfirmed { deadline })
        })
        .await
    }

    /// What is in force here, and its changes.
    pub fn published(&self) -> watch::Receiver<Arc<PublishedView>> {
        self.shared.published.clone()
    }

    /// What the control thread knows of itself.
    ///
    /// # Errors
    ///
    /// [`Error::Ended`].
    pub async fn status(&self) -> Result<Status, Error> {
        self.on_thread(|shared| async move { shared.status().await })
            .await
    }

    /// This host's leadership, or nothing unless it leads and has committed in its term.
    pub async fn leadership(&self) -> Option<Leadership> {
        let leadership =
            self.on_thread(|shared| async move { shared.ask(Input::Leadership).await });
        leadership.await.ok().flatten()
    }

    /// Bytes and messages of peer connections.
    pub fn traffic(&self) -> Traffic {
        self.shared.counters.traffic()
    }

    /// Changes the membership by one replica, on the leader. It has been appended when this
    /// returns; [`Handle::status`] shows when it is committed.
    ///
    /// # Errors
    ///
    /// [`Error::NotLeader`], [`Error::Change`] or [`Error::Ended`].
    pub async fn change_membership(&self, change: Change) -> Result<(), Error> {
        self.on_thread(move |shared| async move {
            let answer = shared.ask(|reply| Input::Change(change, reply)).await?;
            answer.map_err(|refusal| match refusal {
                sardinerelay::raft::RequestError::NotLeader { leader } => {
                    Error::NotLeader { leader }
                }
                refusal => Error::Change(refusal),
            })
        })
        .await
    }

    /// Records that this process leaves, transfers leadership, and ends the thread. What can't be
    /// done within the deadline is left out, since the group copes without it.
    pub async fn stop(self, deadline: Duration) {
        let leave = Command::LeaveHost {
            host: self.shared.settings.host,
            incarnation: self.shared.settings.incarnation,
        };
        if let Err(error) = self.propose(leave, deadline / 2).await {
            info!("leaving without a record of it: {error}");
        }
        let transferred = self.on_thread(move |shared| async move {
            shared.transfer(deadline / 2).await;
            Ok(())
        });
        // It fails only if the thread has ended already.
        let _ = transferred.await;
        self.abort().await;
    }

    /// Ends the thread at once, without leaving, and waits until its files are closed.
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
        // A panic of the thread shows in `ended`.
        let _ = join.await;
    }

    /// Waits until the thread ends: with `Ok` after a stop, else with the reason for which the
    /// process has to exit.
    pub async fn ended(&self) -> Arc<Result<(), FatalError>> {
        let mut ended = self.ended.clone();
        let result = match ended.wait_for(Option::is_some).await {
            Ok(result) => result.clone(),
            Err(_) => None,
        };
        result.unwrap_or_else(|| Arc::new(Err(FatalError::Panic)))
    }

    /// What the control thread's tasks share.
    pub(super) fn shared(&self) -> &Shared {
        &self.shared
    }

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
    async fn ask<T, Make>(&self, make: Make) -> Result<T, Error>
    where
        Make: FnOnce(oneshot::Sender<T>) -> Input,
    {
        let local = self
            .local
            .as_ref()
            .ok_or(Error::NotLeader { leader: None })?;
        let (reply, answer) = oneshot::channel();
        local.send(make(reply)).await.map_err(|_| Error::Ended)?;
        answer.await.map_err(|_| Error::Ended)
    }

    async fn status(&self) -> Result<Status, Error> {
        let replica = match self.local {
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
            cut_off: self.board.is_cut_off(),
            upstream: (upstream != 0).then_some(upstream),
        })
    }

    /// Transfers leadership if this host leads, and waits until another host does.
    async fn transfer(&self, deadline: Duration) {
        let end = Instant::now() + deadline;
        match self.ask(Input::Transfer).await {
            Ok(Ok(to)) => debug!("transferring leadership to host {to}"),
            _ => return,
        }
        while Instant::now() < end && self.leads().await {
            sleep(LOOK).await;
        }
    }

    async fn leads(&self) -> bool {
        let status = self.ask(Input::Status).await;
        status.is_ok_and(|status| status.role == Role::Leader)
    }
}
