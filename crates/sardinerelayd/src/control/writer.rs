//! The thread that writes the replica's log, so that a slow sync delays no heartbeat.

use {
    super::Failure,
    bytes::Bytes,
    sardinerelay::{
        id::Index,
        raft::{Persist, Snapshot, SnapshotMeta},
        state::Machine,
        wal::Store,
    },
    std::{
        sync::mpsc::{Receiver, Sender, channel},
        thread::{Builder, JoinHandle},
    },
    tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel},
};

/// Writes that one sync covers at most.
const GROUP: usize = 256;

pub(super) enum Job {
    Persist(Persist),
    /// Encodes and saves a snapshot. Encoding takes too long for the control thread.
    Save(SnapshotMeta, Box<Machine>),
    Compact(Index),
}

#[derive(Debug)]
pub(super) enum Written {
    /// Everything up to this sequence is synced.
    Persisted(u64),
    /// The snapshot is synced.
    Saved(Snapshot),
    /// Nothing more can be written.
    Failed(Failure),
}

/// The thread. Dropping it waits until it has released the store.
#[derive(Debug)]
pub(super) struct Writer {
    jobs: Option<Sender<Job>>,
    thread: Option<JoinHandle<()>>,
}

impl Writer {
    pub(super) fn start(store: Store) -> Result<(Self, UnboundedReceiver<Written>), Failure> {
        let (jobs, queue) = channel();
        let (report, written) = unbounded_channel();
        let thread = Builder::new()
            .name("log-writer".to_owned())
            .spawn(move || {
                if let Err(error) = run(store, &queue, &report) {
                    // The receiver is gone only if the control thread has ended already.
                    let _ = report.send(Written::Failed(error));
                }
            })
            .map_err(Failure::Thread)?;
        let writer = Self {
            jobs: Some(jobs),
            thread: Some(thread),
        };
        Ok((writer, written))
    }

    /// Queues a job. A failure shows as [`Written::Failed`].
    pub(super) fn queue(&self, job: Job) {
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
    report: &UnboundedSender<Written>,
) -> Result<(), Failure> {
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
            let _ = report.send(Written::Persisted(sequence));
        }
        match other {
            Some(Job::Save(meta, machine)) => {
                let data = Bytes::from(machine.snapshot()?);
                drop(machine);
                let snapshot = Snapshot { meta, data };
                store.save_snapshot(&snapshot)?;
                let _ = report.send(Written::Saved(snapshot));
            }
            Some(Job::Compact(index)) => store.compact(index)?,
            Some(Job::Persist(_)) | None => {}
        }
    }
    Ok(())
}
