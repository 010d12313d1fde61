//! Log and snapshots of a replica on disk, and when the next snapshot is due.

pub use super::writer::{Completion, EncodeSnapshot};

use {
    super::{
        FatalError,
        writer::{Job, Writer},
    },
    log::debug,
    sardinerelay::{
        id::Index,
        raft::{Persist, Replica, Snapshot},
        wal::Store,
    },
    tokio::sync::mpsc::UnboundedReceiver,
};

/// Thresholds for taking a snapshot. Reaching either one suffices.
#[derive(Debug, Clone, Copy)]
pub struct SnapshotThreshold {
    /// Entries applied since the last snapshot.
    pub entries: u64,
    /// Bytes of the entries applied since the last snapshot.
    pub bytes: usize,
}

/// Log and snapshots of a replica on disk.
#[derive(Debug)]
pub struct Disk {
    writer: Writer,
    completions: UnboundedReceiver<Completion>,
    /// Entries and bytes applied since the last snapshot.
    since_snapshot: (u64, usize),
    /// Whether a snapshot is queued or being written, so that no second one is taken.
    is_saving: bool,
    /// Size of the last snapshot's data in bytes.
    snapshot_bytes: usize,
}

impl Disk {
    /// Starts the log-writer thread. `snapshot_bytes` is the size of the last snapshot.
    ///
    /// # Errors
    ///
    /// [`FatalError::Thread`].
    pub fn start(store: Store, snapshot_bytes: usize) -> Result<Self, FatalError> {
        let (writer, completions) = Writer::start(store)?;
        Ok(Self {
            writer,
            completions,
            since_snapshot: (0, 0),
            is_saving: false,
            snapshot_bytes,
        })
    }

    /// Waits for the next completed job, which the caller passes to [`Disk::handle_completion`].
    /// Returns `None` once the thread has ended.
    pub async fn next_completion(&mut self) -> Option<Completion> {
        self.completions.recv().await
    }

    /// Tells the replica which writes are durable.
    ///
    /// # Errors
    ///
    /// The error after which the log-writer thread writes nothing more.
    pub fn handle_completion(
        &mut self,
        completion: Completion,
        replica: &mut Replica,
    ) -> Result<(), FatalError> {
        match completion {
            Completion::Persisted(sequence) => replica.persisted(sequence),
            Completion::Saved(snapshot) => {
                self.is_saving = false;
                let last = snapshot.meta.last.index;
                self.snapshot_bytes = snapshot.data.len();
                debug!("took a snapshot at index {last}");
                replica.compact(snapshot);
                self.writer.queue(Job::Compact(last));
            }
            Completion::Failed(error) => return Err(error),
        }
        Ok(())
    }

    /// Queues a write of the replica.
    pub fn persist(&self, persist: Persist) {
        self.writer.queue(Job::Persist(persist));
    }

    /// Counts an applied entry of this many bytes towards the next snapshot.
    pub fn count_applied(&mut self, bytes: usize) {
        self.since_snapshot.0 += 1;
        self.since_snapshot.1 += bytes;
    }

    /// Restarts the counts after the state was restored from a snapshot of another host.
    pub fn reset_to_snapshot(&mut self, snapshot: &Snapshot) {
        self.snapshot_bytes = snapshot.data.len();
        self.since_snapshot = (0, 0);
    }

    /// Whether a threshold is reached and no snapshot is being written.
    pub fn is_snapshot_due(&self, threshold: SnapshotThreshold) -> bool {
        let (entries, bytes) = self.since_snapshot;
        !self.is_saving && (entries >= threshold.entries || bytes >= threshold.bytes)
    }

    /// Whether the entries since the last snapshot are at least half as large as that snapshot.
    pub fn outgrows_snapshot(&self) -> bool {
        self.since_snapshot.1 >= self.snapshot_bytes / 2
    }

    /// Queues a snapshot of the state at the index `applied`, unless the replica has no metadata
    /// for it.
    pub fn save_snapshot(&mut self, replica: &Replica, applied: Index, encode: EncodeSnapshot) {
        let Some(meta) = replica.snapshot_meta(applied) else {
            return;
        };
        self.writer.queue(Job::Save(meta, encode));
        self.since_snapshot = (0, 0);
        self.is_saving = true;
    }
}
