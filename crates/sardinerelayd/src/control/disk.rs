//! A replica's log and snapshots on disk, and when the next snapshot is due.

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

/// When a snapshot is taken.
#[derive(Debug, Clone, Copy)]
pub struct SnapshotThreshold {
    /// Entries applied since the last one.
    pub entries: u64,
    /// Bytes of these entries.
    pub bytes: usize,
}

/// A replica's log and snapshots on disk.
#[derive(Debug)]
pub struct Disk {
    writer: Writer,
    completions: UnboundedReceiver<Completion>,
    /// Entries and bytes applied since the last snapshot.
    uncompacted: (u64, usize),
    saving: bool,
    snapshot_bytes: usize,
}

impl Disk {
    /// Starts the thread that writes. The last snapshot has `snapshot_bytes` bytes.
    ///
    /// # Errors
    ///
    /// [`FatalError::Thread`].
    pub fn start(store: Store, snapshot_bytes: usize) -> Result<Self, FatalError> {
        let (writer, completions) = Writer::start(store)?;
        Ok(Self {
            writer,
            completions,
            uncompacted: (0, 0),
            saving: false,
            snapshot_bytes,
        })
    }

    /// Waits until something was written, to be handed to [`Disk::handle_completion`]. Nothing follows after the
    /// thread has ended.
    pub async fn next_completion(&mut self) -> Option<Completion> {
        self.completions.recv().await
    }

    /// Tells the replica what was written.
    ///
    /// # Errors
    ///
    /// The failure after which nothing more can be written.
    pub fn handle_completion(
        &mut self,
        completion: Completion,
        replica: &mut Replica,
    ) -> Result<(), FatalError> {
        match completion {
            Completion::Persisted(sequence) => replica.persisted(sequence),
            Completion::Saved(snapshot) => {
                self.saving = false;
                let last = snapshot.meta.last.index;
                self.snapshot_bytes = snapshot.data.len();
                debug!("took a snapshot at {last}");
                replica.compact(snapshot);
                self.writer.queue(Job::Compact(last));
            }
            Completion::Failed(failure) => return Err(failure),
        }
        Ok(())
    }

    /// Queues what the replica wants to be written.
    pub fn persist(&self, persist: Persist) {
        self.writer.queue(Job::Persist(persist));
    }

    /// Counts an applied entry with this many bytes.
    pub fn count_applied(&mut self, bytes: usize) {
        self.uncompacted.0 += 1;
        self.uncompacted.1 += bytes;
    }

    /// Records that the state is that of a snapshot now.
    pub fn reset_to_snapshot(&mut self, snapshot: &Snapshot) {
        self.snapshot_bytes = snapshot.data.len();
        self.uncompacted = (0, 0);
    }

    /// Whether a snapshot is due by these limits, and none is being saved.
    pub fn is_snapshot_due(&self, limit: SnapshotThreshold) -> bool {
        let (entries, bytes) = self.uncompacted;
        !self.saving && (entries >= limit.entries || bytes >= limit.bytes)
    }

    /// Whether the entries since the last snapshot have at least half of its bytes.
    pub fn outgrows_snapshot(&self) -> bool {
        self.uncompacted.1 >= self.snapshot_bytes / 2
    }

    /// Queues a snapshot of the state at `applied`.
    pub fn save_snapshot(&mut self, replica: &Replica, applied: Index, encode: EncodeSnapshot) {
        let Some(meta) = replica.snapshot_meta(applied) else {
            return;
        };
        self.writer.queue(Job::Save(meta, encode));
        self.uncompacted = (0, 0);
        self.saving = true;
    }
}
