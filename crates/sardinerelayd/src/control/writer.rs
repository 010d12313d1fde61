//! The log-writer thread, which writes the log and snapshots of the replica, so that a slow sync
//! doesn't delay heartbeats.

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

/// Queued writes that are added to the first one before a sync.
const MAX_SYNC_BATCH: usize = 256;

/// Encodes the state of a snapshot. It runs on the log-writer thread.
pub type EncodeSnapshot = Box<dyn FnOnce() -> Result<Vec<u8>, state::Error> + Send>;

/// A job for the log-writer thread.
pub enum Job {
    /// Appends to the log and syncs it.
    Persist(Persist),
    /// Encodes and saves a snapshot. The encoding would block the control thread for too long.
    Save(SnapshotMeta, EncodeSnapshot),
    /// Removes the log entries up to this index, which a snapshot contains.
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

/// The result of one or several jobs.
#[derive(Debug)]
pub enum Completion {
    /// All writes up to this sequence number are synced.
    Persisted(u64),
    /// The snapshot is saved and synced.
    Saved(Snapshot),
    /// A job failed. The thread has ended and writes nothing more.
    Failed(FatalError),
}

/// A handle to the log-writer thread. Dropping it waits until the thread has released the store.
#[derive(Debug)]
pub struct Writer {
    jobs: Option<Sender<Job>>,
    thread: Option<JoinHandle<()>>,
}

impl Writer {
    /// Starts the thread, which takes ownership of the store.
    ///
    /// # Errors
    ///
    /// [`FatalError::Thread`].
    pub fn start(store: Store) -> Result<(Self, UnboundedReceiver<Completion>), FatalError> {
        let (jobs, queue) = channel();
        let (report, completions) = unbounded_channel();
        let thread = Builder::new()
            .name("log-writer".to_owned())
            .spawn(move || {
                if let Err(error) = run(store, &queue, &report) {
                    // Sending fails only if the control thread has ended already.
                    let _ = report.send(Completion::Failed(error));
                }
            })
            .map_err(FatalError::Thread)?;
        let writer = Self {
            jobs: Some(jobs),
            thread: Some(thread),
        };
        Ok((writer, completions))
    }

    /// Queues a job. A failure is reported as [`Completion::Failed`].
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
        let jobs = std::iter::once(first).chain(queue.try_iter().take(MAX_SYNC_BATCH));
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
