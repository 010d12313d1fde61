//! The thread that writes the replica's log, so that a slow sync delays no heartbeat.

use {
    super::FatalError,
    bytes::Bytes,
    sardinerelay::{
        id::Index,
        raft::{Persist, Snapshot, SnapshotMeta},
        state,
        wal::Store,
    },
    std::{
        fmt,
        sync::mpsc::{Receiver, Sender, channel},
        thread::{Builder, JoinHandle},
    },
    tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel},
};

/// Writes that one sync covers at most.
const GROUP: usize = 256;

/// Encodes the state that a snapshot contains.
pub type EncodeSnapshot = Box<dyn FnOnce() -> Result<Vec<u8>, state::Error> + Send>;

/// A job for the thread.
pub enum Job {
    /// Appends and syncs.
    Persist(Persist),
    /// Encodes and saves a snapshot. Encoding takes too long for the control thread.
    Save(SnapshotMeta, EncodeSnapshot),
    /// Removes what a snapshot up to this index contains.
    Compact(Index),
}

impl fmt::Debug for Job {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = match self {
            Self::Persist(_) => "Persist",
            Self::Save(..) => "Save",
            Self::Compact(_) => "Compact",
        };
        formatter.debug_struct(name).finish_non_exhaustive()
    }
}

/// What became of jobs.
#[derive(Debug)]
pub enum Completion {
    /// Everything up to this sequence is synced.
    Persisted(u64),
    /// The snapshot is synced.
    Saved(Snapshot),
    /// Nothing more can be written.
    Failed(FatalError),
}

/// The thread. Dropping it waits until it has released the store.
#[derive(Debug)]
pub struct Writer {
    jobs: Option<Sender<Job>>,
    thread: Option<JoinHandle<()>>,
}

impl Writer {
    /// Starts the thread, which owns the store from here on.
    ///
    /// # Errors
    ///
    /// [`FatalError::Thread`].
    pub fn start(store: Store) -> Result<(Self, UnboundedReceiver<Completion>), FatalError> {
        let (jobs, queue) = channel();
        let (report, written) = unbounded_channel();
        let thread = Builder::new()
            .name("log-writer".to_owned())
            .spawn(move || {
                if let Err(error) = run(store, &queue, &report) {
                    // The receiver is gone only if the control thread has ended already.
                    let _ = report.send(Completion::Failed(error));
                }
            })
            .map_err(FatalError::Thread)?;
        let writer = Self {
            jobs: Some(jobs),
            thread: Some(thread),
        };
        Ok((writer, written))
    }

    /// Queues a job. A failure shows as [`Completion::Failed`].
    pub fn queue(&self, job: Job) {
        if let Some(jobs) = &self.jobs {
            let _ = jobs.send(job);
        }
    }
}

impl Drop for Writer {
    fn drop(&mut self) {
        self.jobs = None;
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn run(
    mut store: Store,
    queue: &Receiver<Job>,
    report: &UnboundedSender<Completion>,
) -> Result<(), FatalError> {
    while let Ok(first) = queue.recv() {
        let mut sequence = None;
        let mut other = None;
        let jobs = std::iter::once(first).chain(queue.try_iter().take(GROUP));
        for job in jobs {
            match job {
                Job::Persist(persist) => {
                    store.append(&persist)?;
                    sequence = Some(persist.sequence);
                }
                job => {
                    other = Some(job);
                    break;
                }
            }
        }
        if let Some(sequence) = sequence {
            store.sync()?;
            let _ = report.send(Completion::Persisted(sequence));
        }
        match other {
            Some(Job::Save(meta, encode)) => {
                let data = Bytes::from(encode()?);
                let snapshot = Snapshot { meta, data };
                store.save_snapshot(&snapshot)?;
                let _ = report.send(Completion::Saved(snapshot));
            }
            Some(Job::Compact(index)) => store.compact(index)?,
            Some(Job::Persist(_)) | None => {}
        }
    }
    Ok(())
}
