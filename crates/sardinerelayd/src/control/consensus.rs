//! Drives the replica: persist, then send, then apply.
//!
//! One task owns the replica, the state machine and the thread that writes the log. The replica
//! itself holds back whatever depends on a write that is not synced yet, so the task never waits
//! for the disk.

use {
    super::{
        FatalError, Leadership,
        disk::{Disk, SnapshotThreshold},
        local_view::Board,
        members,
        message::{Input, Outcome},
        reads::Reads,
    },
    crate::peer::Outbox,
    bytes::Bytes,
    log::{debug, info},
    sardinerelay::{
        id::{Host, Index, Term, Version},
        ledger::Quota,
        raft::{
            self, DurableState, Payload, Position, Read, Ready, Replica, RequestError, Snapshot,
        },
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

/// Inputs that are handled before the replica's work is done, so that one sync covers many
/// proposals.
const GROUP: usize = 256;

struct Pending {
    term: Term,
    reply: Sender<Outcome<Reply>>,
}

pub(super) struct Consensus {
    replica: Replica,
    /// Voters that the settings name.
    founders: usize,
    machine: Machine,
    applied: Index,
    board: Arc<Board>,
    outboxes: BTreeMap<Host, Arc<Outbox>>,
    disk: Disk,
    pending: BTreeMap<Index, Pending>,
    reads: Reads<Outcome<Version>>,
    compaction: SnapshotThreshold,
}

impl Consensus {
    pub(super) fn new(
        (config, founders): (raft::Config, usize),
        (store, durable): (Store, DurableState),
        quota: Quota,
        compaction: SnapshotThreshold,
        (board, outboxes): (Arc<Board>, BTreeMap<Host, Arc<Outbox>>),
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
            founders,
            machine,
            applied,
            board,
            outboxes,
            disk,
            pending: BTreeMap::new(),
            reads: Reads::default(),
            compaction,
        })
    }

    /// Runs until the input ends or a write fails.
    pub(super) async fn run(mut self, mut inputs: Receiver<Input>) -> Result<(), FatalError> {
        loop {
            let deadline = Deadline::from_std(self.replica.deadline());
            tokio::select! {
                biased;
                Some(completion) = self.disk.next_completion() => self.disk.handle_completion(completion, &mut self.replica)?,
                input = inputs.recv() => match input {
                    Some(input) => self.inputs(input, &mut inputs),
                    None => return Ok(()),
                },
                () = sleep_until(deadline) => {}
            }
            self.replica.tick(Instant::now());
            self.work()?;
        }
    }

    fn inputs(&mut self, first: Input, inputs: &mut Receiver<Input>) {
        self.input(first);
        for _ in 1..GROUP {
            match inputs.try_recv() {
                Ok(input) => self.input(input),
                Err(_) => return,
            }
        }
    }

    fn input(&mut self, input: Input) {
        match input {
            Input::Step(from, messages) => {
                let now = Instant::now();
                for message in messages {
                    self.replica.step(from, message, now);
                }
            }
            Input::Propose(entry, reply) => self.propose(*entry, reply),
            Input::Confirm(reply) => self.reads.start(&mut self.replica, reply),
            // Whoever asked may have given up meanwhile, here and below.
            Input::Change(change, reply) => {
                let _ = reply.send(self.replica.change(change).map(|_| ()));
            }
            Input::Transfer(reply) => {
                let _ = reply.send(self.replica.transfer(None));
            }
            Input::Replace(request, reply) => {
                let outboxes = &self.outboxes;
                let reachable = |host| outboxes.contains_key(&host);
                let answer = members::advance(&mut self.replica, request, self.founders, reachable);
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

    /// Proposes an entry with the leader's time, so that the clocks of voters alone move the
    /// machine's clock.
    fn propose(&mut self, mut entry: state::Entry, reply: Sender<Outcome<Reply>>) {
        entry.at = SystemTime::now();
        let Ok(data) = postcard::to_stdvec(&entry) else {
            let _ = reply.send(Outcome::Busy);
            return;
        };
        match self.replica.propose(Bytes::from(data)) {
            Ok(Position { term, index }) => {
                let replaced = self.pending.insert(index, Pending { term, reply });
                if let Some(lost) = replaced {
                    let _ = lost.reply.send(Outcome::Lost);
                }
            }
            Err(refusal) => {
                let _ = reply.send(refusal.into());
            }
        }
    }

    fn work(&mut self) -> Result<(), FatalError> {
        loop {
            let ready = self.replica.ready();
            if ready.is_empty() {
                break;
            }
            self.handle(ready)?;
        }
        self.publish();
        self.compact();
        Ok(())
    }

    fn handle(&mut self, ready: Ready) -> Result<(), FatalError> {
        if let Some(persist) = ready.persist {
            self.disk.persist(persist);
        }
        for envelope in ready.messages {
            match self.outboxes.get(&envelope.to) {
                Some(outbox) => outbox.push(envelope.message),
                None => debug!("no address of host {} is known", envelope.to),
            }
        }
        if let Some(snapshot) = ready.snapshot {
            self.restore(&snapshot)?;
        }
        for entry in ready.committed {
            self.apply(entry)?;
        }
        for read in ready.reads {
            self.answer(read);
        }
        if let Some(soft) = ready.soft_state {
            match soft.leader {
                Some(leader) if soft.role == raft::Role::Leader => {
                    info!("this host, {leader}, leads term {}", soft.term);
                }
                Some(leader) => info!("host {leader} leads term {}", soft.term),
                None => info!("no leader is known in term {}", soft.term),
            }
            self.board.set_cut_off(soft.leader.is_none());
            self.pending.retain(|_, pending| !pending.reply.is_closed());
        }
        Ok(())
    }

    fn restore(&mut self, snapshot: &Snapshot) -> Result<(), FatalError> {
        info!("restoring a snapshot at {}", snapshot.meta.last.index);
        self.machine = Machine::restore(&snapshot.data)?;
        self.disk.reset_to_snapshot(snapshot);
        self.applied = snapshot.meta.last.index;
        let later = self.pending.split_off(&(self.applied + 1));
        for (_, pending) in std::mem::replace(&mut self.pending, later) {
            let _ = pending.reply.send(Outcome::Unknown);
        }
        Ok(())
    }

    fn apply(&mut self, entry: raft::Entry) -> Result<(), FatalError> {
        let Position { term, index } = entry.position;
        let mut reply = None;
        let mut bytes = 0;
        if let Payload::Data(data) = entry.payload {
            bytes = data.len();
            let entry = postcard::from_bytes(&data).map_err(state::Error::from)?;
            reply = Some(self.machine.apply(index, &entry));
        }
        self.disk.count_applied(bytes);
        self.applied = index;
        if let Some(pending) = self.pending.remove(&index) {
            let outcome = match reply {
                Some(reply) if pending.term == term => Outcome::Done(reply),
                _ => Outcome::Lost,
            };
            let _ = pending.reply.send(outcome);
        }
        Ok(())
    }

    fn answer(&mut self, read: Read) {
        let Some(reply) = self.reads.take(read.token) else {
            return;
        };
        let _ = reply.send(match read.outcome {
            Ok(_) => Outcome::Done(self.machine.view().version),
            Err(RequestError::NotLeader { leader }) => Outcome::NotLeader(leader),
            Err(_) => Outcome::Busy,
        });
    }

    /// Shows the machine's view to the rest of the host, unless what was read from disk at the
    /// start is newer.
    fn publish(&mut self) {
        let shown = self.board.view();
        if self.machine.view().version <= shown.version {
            return;
        }
        let update = self.machine.delta(shown.version, &shown.digest);
        if let Err(mismatch) = self.board.update(update) {
            debug!("{mismatch}");
            let whole = self.machine.view().clone();
            let _ = self.board.update(state::Update::Whole(Box::new(whole)));
        }
    }

    fn compact(&mut self) {
        // Snapshots of a large state are taken less often, so that they cost at most about as many
        // written bytes as the log.
        if !self.disk.is_snapshot_due(self.compaction) || !self.disk.outgrows_snapshot() {
            return;
        }
        let machine = self.machine.clone();
        let encode = Box::new(move || machine.snapshot());
        self.disk.save_snapshot(&self.replica, self.applied, encode);
    }
}
