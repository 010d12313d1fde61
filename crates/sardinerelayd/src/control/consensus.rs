//! Runs the consensus replica: passes it inputs, writes its log, sends its messages and applies
//! committed entries.
//!
//! One task owns the replica, the state machine and the log-writer thread. The replica withholds
//! messages that depend on unsynced writes, so the task never waits for the disk.

use {
    super::{
        FatalError, Leadership,
        disk::{Disk, SnapshotThreshold},
        local_view::LocalView,
        members,
        message::{Input, Outcome},
        proposals::Proposals,
        reads::Reads,
    },
    crate::peer::Outbox,
    bytes::Bytes,
    log::{debug, info},
    sardinerelay::{
        id::{Host, Index, Version},
        ledger::Quota,
        raft::{self, DurableState, Payload, Read, Ready, Replica, RequestError, Snapshot},
        state::{self, Machine, Reply},
        wal::Store,
    },
    std::{
        collections::BTreeMap,
        sync::Arc,
        time::{Instant, SystemTime},
    },
    tokio::{
        sync::{mpsc::Receiver, oneshot::Sender},
        time::{Instant as Deadline, sleep_until},
    },
};

/// Inputs that are handled before the replica's output is processed, so that one sync covers many
/// proposals.
const MAX_INPUT_BATCH: usize = 256;

/// The replica with its state machine, its disk and the queues of messages to other hosts. One task
/// owns it.
pub(super) struct Consensus {
    replica: Replica,
    /// Number of voters in the settings.
    voter_count: usize,
    machine: Machine,
    /// Index of the last entry that was applied to the machine.
    applied: Index,
    local_view: Arc<LocalView>,
    outboxes: BTreeMap<Host, Arc<Outbox>>,
    disk: Disk,
    proposals: Proposals<Outcome<Reply>>,
    reads: Reads<Outcome<Version>>,
    snapshot_threshold: SnapshotThreshold,
}

impl Consensus {
    pub(super) fn new(
        (config, voter_count): (raft::Config, usize),
        (store, durable): (Store, DurableState),
        quota: Quota,
        snapshot_threshold: SnapshotThreshold,
        (local_view, outboxes): (Arc<LocalView>, BTreeMap<Host, Arc<Outbox>>),
    ) -> Result<Self, FatalError> {
        let machine = match &durable.snapshot.data {
            data if data.is_empty() => Machine::new(quota),
            data => Machine::restore(data)?,
        };
        let applied = durable.snapshot.meta.last.index;
        let snapshot_bytes = durable.snapshot.data.len();
        let replica = Replica::new(config, durable, Instant::now())?;
        let disk = Disk::start(store, snapshot_bytes)?;
        Ok(Self {
            replica,
            voter_count,
            machine,
            applied,
            local_view,
            outboxes,
            disk,
            proposals: Proposals::default(),
            reads: Reads::default(),
            snapshot_threshold,
        })
    }

    /// Runs until the input channel is closed or a write fails.
    ///
    /// # Errors
    ///
    /// The [`FatalError`] for which the process must exit.
    pub(super) async fn run(mut self, mut inputs: Receiver<Input>) -> Result<(), FatalError> {
        loop {
            let deadline = Deadline::from_std(self.replica.deadline());
            tokio::select! {
                biased;
                completion = self.disk.next_completion() => match completion {
                    Some(completion) => self.disk.handle_completion(completion, &mut self.replica)?,
                    // Nothing would be written any more, and a leader would still send heartbeats.
                    None => return Err(FatalError::Panic),
                },
                input = inputs.recv() => match input {
                    Some(input) => self.handle_inputs(input, &mut inputs),
                    None => return Ok(()),
                },
                () = sleep_until(deadline) => {}
            }
            self.replica.tick(Instant::now());
            self.process_ready()?;
        }
    }

    fn handle_inputs(&mut self, first: Input, inputs: &mut Receiver<Input>) {
        self.handle_input(first);
        for _ in 1..MAX_INPUT_BATCH {
            match inputs.try_recv() {
                Ok(input) => self.handle_input(input),
                Err(_) => return,
            }
        }
    }

    fn handle_input(&mut self, input: Input) {
        match input {
            Input::Step(from, messages) => {
                let now = Instant::now();
                for message in messages {
                    self.replica.step(from, message, now);
                }
            }
            Input::Propose(entry, reply) => self.propose(*entry, reply),
            Input::Confirm(reply) => self.reads.start(&mut self.replica, reply),
            // Here and below, sending fails if the caller has given up in the meantime.
            Input::Change(change, reply) => {
                let _ = reply.send(self.replica.change(change).map(|_| ()));
            }
            Input::Transfer(reply) => {
                let _ = reply.send(self.replica.transfer(None));
            }
            Input::Replace(request, reply) => {
                let outboxes = &self.outboxes;
                let has_address = |host| outboxes.contains_key(&host);
                let answer = members::advance_replacement(
                    &mut self.replica,
                    request,
                    self.voter_count,
                    has_address,
                );
                let _ = reply.send(answer);
            }
            Input::Status(reply) => {
                let _ = reply.send(self.replica.status());
            }
            Input::Leadership(reply) => {
                let term = self.replica.status().term;
                let leadership = self.replica.lease().map(|lease| Leadership { term, lease });
                let _ = reply.send(leadership);
            }
        }
    }

    /// Proposes an entry with this host's time, so that only the clocks of voters advance the clock
    /// of the state machine.
    fn propose(&mut self, mut entry: state::Entry, reply: Sender<Outcome<Reply>>) {
        entry.at = SystemTime::now();
        let Ok(data) = postcard::to_stdvec(&entry) else {
            let _ = reply.send(Outcome::Busy);
            return;
        };
        match self.replica.propose(Bytes::from(data)) {
            Ok(position) => self.proposals.insert(position, reply),
            Err(error) => {
                let _ = reply.send(error.into());
            }
        }
    }

    /// Handles the replica's output until there is none, then updates the view and the snapshot.
    fn process_ready(&mut self) -> Result<(), FatalError> {
        loop {
            let ready = self.replica.ready();
            if ready.is_empty() {
                break;
            }
            self.handle_ready(ready)?;
        }
        self.update_local_view();
        self.take_due_snapshot();
        Ok(())
    }

    fn handle_ready(&mut self, ready: Ready) -> Result<(), FatalError> {
        if let Some(persist) = ready.persist {
            self.disk.persist(persist);
        }
        for envelope in ready.messages {
            match self.outboxes.get(&envelope.to) {
                Some(outbox) => outbox.push(envelope.message),
                None => debug!("the address of host {} is unknown", envelope.to),
            }
        }
        if let Some(snapshot) = ready.snapshot {
            self.restore(&snapshot)?;
        }
        for entry in ready.committed {
            self.apply(entry)?;
        }
        for read in ready.reads {
            self.answer_read(read);
        }
        if let Some(soft) = ready.soft_state {
            match soft.leader {
                Some(leader) if soft.role == raft::Role::Leader => {
                    info!("this host, {leader}, is the leader of term {}", soft.term);
                }
                Some(leader) => info!("host {leader} is the leader of term {}", soft.term),
                None => info!("no known leader in term {}", soft.term),
            }
            self.local_view.set_cut_off(soft.leader.is_none());
            self.proposals.forget_abandoned();
        }
        Ok(())
    }

    fn restore(&mut self, snapshot: &Snapshot) -> Result<(), FatalError> {
        info!("restoring a snapshot at index {}", snapshot.meta.last.index);
        self.machine = Machine::restore(&snapshot.data)?;
        self.disk.reset_to_snapshot(snapshot);
        self.applied = snapshot.meta.last.index;
        self.proposals.end_through(self.applied);
        Ok(())
    }

    fn apply(&mut self, entry: raft::Entry) -> Result<(), FatalError> {
        let index = entry.position.index;
        let waiting = self.proposals.take_committed(entry.position);
        let mut reply = None;
        let mut bytes = 0;
        if let Payload::Data(data) = entry.payload {
            bytes = data.len();
            let entry = postcard::from_bytes(&data).map_err(state::Error::from)?;
            reply = Some(self.machine.apply(index, &entry));
        }
        self.disk.count_applied(bytes);
        self.applied = index;
        if let Some((waiting, reply)) = waiting.zip(reply) {
            let _ = waiting.send(Outcome::Done(reply));
        }
        Ok(())
    }

    fn answer_read(&mut self, read: Read) {
        let Some(reply) = self.reads.take(read.token) else {
            return;
        };
        let _ = reply.send(match read.outcome {
            Ok(_) => Outcome::Done(self.machine.view().version),
            Err(RequestError::NotLeader { leader }) => Outcome::NotLeader(leader),
            Err(_) => Outcome::Busy,
        });
    }

    /// Updates the local view from the state machine, unless the view that was read from disk at
    /// the start is newer.
    fn update_local_view(&mut self) {
        let current = self.local_view.view();
        if self.machine.view().version <= current.version {
            return;
        }
        let update = self.machine.update_since(current.version, &current.digest);
        if let Err(error) = self.local_view.update(update) {
            debug!("replacing the local view: {error}");
            let whole = self.machine.view().clone();
            let _ = self
                .local_view
                .update(state::Update::Whole(Box::new(whole)));
        }
    }

    fn take_due_snapshot(&mut self) {
        // Snapshots of a large state are taken less often, so that they write at most about twice
        // as many bytes as the log.
        if !self.disk.is_snapshot_due(self.snapshot_threshold) || !self.disk.outgrows_snapshot() {
            return;
        }
        let machine = self.machine.clone();
        let encode = Box::new(move || machine.snapshot());
        self.disk.save_snapshot(&self.replica, self.applied, encode);
    }
}
