//! A model of a group whose hosts restart, lose their disks and are replaced, one loss at a time.

use {
    rand::{Rng as _, SeedableRng as _, rngs::StdRng},
    rstest::rstest,
    sardinerelay::{
        id::Host,
        raft::{Change, Membership},
    },
    sardinerelay_gateway::group::{
        member,
        repair::{GroupState, JoinRequest, Step, drop_expired_requests},
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        net::Ipv4Addr,
        time::{Duration, Instant},
    },
};

const STEP: Duration = Duration::from_millis(20);
/// Time for which a host counts as lost after it is back or, if it is new, after it starts.
const CATCH_UP: Duration = Duration::from_secs(4);
/// Time without a leader after which another one is elected.
const ELECTION: Duration = Duration::from_millis(1000);
/// Time from a learner's start until it has caught up.
const LEARNING: Duration = Duration::from_millis(600);
/// Time for which a voter that stops waits for its replacement.
const STOP_TIME: Duration = Duration::from_secs(4);
/// Time that a removed replica takes to notice it and start without files.
const REJOIN_TIME: Duration = Duration::from_secs(2);
const VOTERS: usize = 3;
const EVENTS: usize = 60;

/// A process with a replica.
#[derive(Debug, Clone)]
struct Process {
    id: Host,
    started: Instant,
    /// While it is down or frozen, when it is back.
    back: Option<Instant>,
    /// When it was told to stop for good.
    stopping: Option<Instant>,
}

struct Model {
    rng: StdRng,
    now: Instant,
    processes: Vec<Process>,
    membership: Membership,
    leader: Option<Host>,
    leaderless_since: Instant,
    last_heard: BTreeMap<Host, Instant>,
    leaving: BTreeMap<Host, Instant>,
    requests: BTreeMap<Ipv4Addr, JoinRequest>,
    /// Until when a loss counts, so that there is no other one.
    lost_until: Instant,
    next_address: u8,
}

impl Model {
    fn new(seed: u64) -> Self {
        let now = Instant::now();
        let addresses = (1..=VOTERS as u8).map(|number| Ipv4Addr::new(10, 0, 0, number));
        let processes = addresses.map(|address| Process {
            id: member::founder_id(address),
            started: now,
            back: None,
            stopping: None,
        });
        let processes: Vec<Process> = processes.collect();
        Self {
            rng: StdRng::seed_from_u64(seed),
            now,
            membership: Membership::new(processes.iter().map(|process| process.id)),
            leader: Some(processes[0].id),
            processes,
            leaderless_since: now,
            last_heard: BTreeMap::new(),
            leaving: BTreeMap::new(),
            requests: BTreeMap::new(),
            lost_until: now + CATCH_UP,
            next_address: VOTERS as u8 + 1,
        }
    }

    fn is_up(&self, id: Host) -> bool {
        let mut up = self
            .processes
            .iter()
            .filter(|process| process.back.is_none());
        up.any(|process| process.id == id)
    }

    /// Whether so many voters exist, now or after their restart, that they can decide.
    fn can_recover(&self) -> bool {
        let exists = |id: &&Host| self.processes.iter().any(|process| process.id == **id);
        let existing = self.membership.voters.iter().filter(exists).count();
        2 * existing > self.membership.voters.len()
    }

    fn has_quorum(&self) -> bool {
        let voters = &self.membership.voters;
        let up = voters.iter().filter(|voter| self.is_up(**voter));
        2 * up.count() > voters.len()
    }

    fn start(&mut self, address: Ipv4Addr) {
        let id = member::random_id(address, &mut self.rng);
        self.processes.push(Process {
            id,
            started: self.now,
            back: None,
            stopping: None,
        });
    }

    fn start_successor(&mut self) {
        let address = Ipv4Addr::new(10, 0, 1, self.next_address);
        self.next_address += 1;
        self.start(address);
    }

    /// Lets something happen to a voter.
    fn happen(&mut self) {
        let voters: Vec<Host> = self.membership.voters.iter().copied().collect();
        let voter = voters[self.rng.random_range(0..voters.len())];
        let Some(position) = self
            .processes
            .iter()
            .position(|process| process.id == voter)
        else {
            return;
        };
        let away = Duration::from_millis(self.rng.random_range(100..3_000));
        match self.rng.random_range(0..4) {
            // A restart or a freeze.
            0 => {
                self.processes[position].back = Some(self.now + away);
                self.lost_until = self.now + away + CATCH_UP;
            }
            // A lost disk.
            1 => {
                let address = member::address(self.processes.remove(position).id);
                self.start(address);
                let process = self.processes.last_mut().expect("it was started");
                process.back = Some(self.now + away);
                self.lost_until = self.now + away + CATCH_UP;
            }
            // A planned replacement. It counts as no loss once the successor has had its time.
            2 => {
                self.start_successor();
                let stopping = self.now + CATCH_UP + away;
                self.processes[position].stopping = Some(stopping);
                self.lost_until = stopping + STOP_TIME;
            }
            // A kill, and a successor at the same time.
            _ => {
                self.processes.remove(position);
                self.start_successor();
                self.lost_until = self.now + CATCH_UP;
            }
        }
    }

    /// Ends a voter that stops once it is replaced or has waited long enough.
    fn stop(&mut self) {
        let due = self.processes.iter().find(|process| {
            let due = process.stopping.filter(|stopping| self.now >= *stopping);
            due.is_some() && process.back.is_none()
        });
        let Some(Process { id, stopping, .. }) = due.cloned() else {
            return;
        };
        if self.leader == Some(id) {
            // It transfers its leadership.
            self.leader = None;
            self.leaderless_since = self.now - ELECTION / 2;
        }
        self.leaving.insert(id, self.now);
        let is_over = stopping.is_some_and(|stopping| self.now >= stopping + STOP_TIME);
        if !self.membership.contains(id) || is_over {
            self.processes.retain(|process| process.id != id);
            self.lost_until = self.now;
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        for process in &mut self.processes {
            if process.back.is_some_and(|back| self.now >= back) {
                process.back = None;
                process.started = self.now;
            }
        }
        self.stop();
        self.rejoin();
        let leader = self.leader.filter(|leader| self.is_up(*leader));
        match leader.filter(|_| self.has_quorum()) {
            Some(leader) => self.lead(leader),
            None if leader != self.leader || self.leader.is_some() => {
                self.leader = None;
                self.leaderless_since = self.now;
            }
            None => self.elect(),
        }
    }

    /// Lets a removed replica come back without files.
    fn rejoin(&mut self) {
        let removed = self.processes.iter_mut().filter(|process| {
            let is_founder = member::founder_id(member::address(process.id)) == process.id;
            let was_member = is_founder || self.last_heard.contains_key(&process.id);
            let is_member = self.membership.contains(process.id);
            process.back.is_none() && process.stopping.is_none() && was_member && !is_member
        });
        for process in removed {
            process.id = member::random_id(member::address(process.id), &mut self.rng);
            process.back = Some(self.now + REJOIN_TIME);
        }
    }

    fn elect(&mut self) {
        let stopping = |id: Host| {
            let mut all = self.processes.iter();
            all.any(|process| process.id == id && process.stopping.is_some_and(|at| self.now >= at))
        };
        let mut voters = self.membership.voters.iter().copied();
        let is_over = self.now >= self.leaderless_since + ELECTION;
        let candidate = voters.find(|voter| self.is_up(*voter) && !stopping(*voter));
        if is_over && self.has_quorum() {
            self.leader = candidate;
            // It knows nothing yet of the others.
            self.last_heard
                .retain(|host, _| !self.membership.contains(*host));
            let now = self.now;
            let hosts: Vec<Host> = self.membership.hosts().collect();
            self.last_heard
                .extend(hosts.into_iter().map(|host| (host, now)));
        }
    }

    fn lead(&mut self, leader: Host) {
        let now = self.now;
        for process in self
            .processes
            .iter()
            .filter(|process| process.back.is_none())
        {
            let address = member::address(process.id);
            if self.membership.contains(process.id) {
                self.last_heard.insert(process.id, now);
            }
            if !self.membership.voters.contains(&process.id) {
                let request = JoinRequest {
                    host: process.id,
                    received_at: now,
                    is_founding: false,
                };
                self.requests.insert(address, request);
            }
        }
        let has_learnt = |id: &Host| {
            let mut all = self
                .processes
                .iter()
                .filter(|process| process.back.is_none());
            all.any(|process| process.id == *id && now >= process.started + LEARNING)
        };
        let learners = self.membership.learners.iter().copied();
        let promotable: BTreeSet<Host> = learners.filter(has_learnt).collect();
        let state = GroupState {
            membership: &self.membership,
            leader,
            desired_voters: VOTERS,
            last_heard: &self.last_heard,
            leaving: &self.leaving,
            promotable: &promotable,
            join_requests: &self.requests,
        };
        if let Some(Step::Change(change)) = state.next_step(now) {
            let changed = self.membership.changed(change);
            self.membership = changed.expect("an applicable step");
            if let Change::AddLearner(host) | Change::Promote(host) = change {
                self.last_heard.insert(host, now);
            }
        }
        drop_expired_requests(&mut self.requests, &self.membership, now);
    }
}

/// Guards against a group that is left without a quorum for good by losses of which each came only after the one
/// before had stopped counting.
#[rstest]
fn one_loss_at_a_time_leaves_a_group_without_a_quorum(
    #[values(0, 1, 2, 3, 4, 5, 6, 7, 8, 9)] block: u64,
) {
    for seed in block * 40..(block + 1) * 40 {
        let mut model = Model::new(seed);
        for event in 0..EVENTS {
            while model.now < model.lost_until {
                model.step();
                assert!(model.can_recover(), "seed {seed}, event {event}");
            }
            model.happen();
            assert!(model.can_recover(), "seed {seed}, event {event}");
        }
    }
}
