//! Single replicas, driven message by message.

use {
    rstest::rstest,
    sardinerelay::{
        id::{Host, Term},
        raft::{
            Append, Body, Config, Conflict, DurableState, Entry, Envelope, Message, Payload,
            Position, Ready, Replica, Role,
        },
    },
    std::time::{Duration, Instant},
};

const MILLISECOND: Duration = Duration::from_millis(1);

fn new_replica(now: Instant) -> Replica {
    Replica::new(Config::new(1, 1), DurableState::bootstrap([1, 2, 3]), now).unwrap()
}

fn message(term: Term, body: Body) -> Message {
    Message { term, body }
}

fn vote_request(term: Term) -> Message {
    let last = Position { term, index: 100 };
    message(
        term,
        Body::Vote {
            last,
            transfer: false,
        },
    )
}

/// Takes all work, acknowledges all writes, and returns the messages to send.
fn drain_ready(replica: &mut Replica) -> Vec<Envelope> {
    let mut messages = Vec::new();
    loop {
        let ready = replica.ready();
        if ready.is_empty() {
            return messages;
        }
        messages.extend(ready.messages);
        if let Some(persist) = ready.persist {
            replica.persisted(persist.sequence);
        }
    }
}

fn is_granted(envelopes: &[Envelope], to: Host) -> bool {
    let granted = Body::VoteReply { granted: true };
    envelopes
        .iter()
        .any(|envelope| envelope.to == to && envelope.message.body == granted)
}

/// Elects replica 1 in term 1 with the vote of replica 2, which also answers the first heartbeat
/// round.
fn elect(now: Instant) -> (Replica, Instant) {
    elect_with(Config::new(1, 1), DurableState::bootstrap([1, 2, 3]), now)
}

fn elect_with(config: Config, durable: DurableState, now: Instant) -> (Replica, Instant) {
    let first = durable.snapshot.meta.last.index + 1;
    let mut replica = Replica::new(config, durable, now).unwrap();
    let now = replica.deadline();
    replica.tick(now);
    drain_ready(&mut replica);
    replica.step(
        2,
        message(
            0,
            Body::PreVoteReply {
                campaign: 1,
                granted: true,
            },
        ),
        now,
    );
    drain_ready(&mut replica);
    replica.step(2, message(1, Body::VoteReply { granted: true }), now);
    drain_ready(&mut replica);
    replica.step(2, message(1, Body::Appended { matched: first }), now);
    replica.step(2, message(1, Body::HeartbeatReply { round: 1 }), now);
    drain_ready(&mut replica);
    assert!(replica.lease().is_some_and(|lease| lease.is_held(now)));
    (replica, now)
}

/// Guards against a vote, or an acknowledgement of an entry, that is sent before it is on disk and
/// forgotten after a crash.
#[test]
fn replies_wait_for_the_disk() {
    let now = Instant::now();
    let mut replica = new_replica(now);
    replica.step(2, vote_request(1), now);
    let first: Ready = replica.ready();
    let sequence = first.persist.unwrap().sequence;
    assert!(first.messages.is_empty());
    assert!(replica.ready().is_empty());
    replica.persisted(sequence);
    assert!(is_granted(&replica.ready().messages, 2));
}

/// Guards against a second vote in one term after a restart.
#[test]
fn restart_remembers_the_vote() {
    let now = Instant::now();
    let mut replica = new_replica(now);
    replica.step(2, vote_request(1), now);
    let mut durable = DurableState::bootstrap([1, 2, 3]);
    durable.hard_state = replica.ready().persist.unwrap().hard_state.unwrap();
    let mut replica = Replica::new(Config::new(1, 1), durable, now).unwrap();
    let later = now + 600 * MILLISECOND;
    replica.step(3, vote_request(1), later);
    assert!(!is_granted(&drain_ready(&mut replica), 3));
    replica.step(2, vote_request(1), later);
    assert!(
        is_granted(&drain_ready(&mut replica), 2),
        "the same vote may be repeated"
    );
}

/// Guards against a former leader that helps to elect another one while orders that its own lease
/// covered may still be running.
#[test]
fn former_leader_refuses_votes_until_its_lease_is_over() {
    let (mut replica, elected) = elect(Instant::now());
    let soon = elected + 10 * MILLISECOND;
    replica.step(3, message(2, Body::HeartbeatReply { round: 0 }), soon);
    assert_eq!(replica.status().role, Role::Follower);
    replica.step(3, vote_request(3), soon);
    assert!(!is_granted(&drain_ready(&mut replica), 3));
    assert_eq!(replica.status().term, 2, "the refused term is not adopted");
    replica.step(3, vote_request(3), elected + 500 * MILLISECOND);
    assert!(is_granted(&drain_ready(&mut replica), 3));
}

/// Guards against a lease that starts when an answer arrives instead of when the heartbeat was
/// sent.
#[test]
fn lease_starts_when_the_round_is_sent() {
    let (mut replica, elected) = elect(Instant::now());
    let before = replica.lease().unwrap().expires_at();
    assert_eq!(before, Some(elected + 450 * MILLISECOND));
    let sent = replica.deadline();
    replica.tick(sent);
    drain_ready(&mut replica);
    replica.step(
        2,
        message(1, Body::HeartbeatReply { round: 2 }),
        sent + 90 * MILLISECOND,
    );
    assert_eq!(
        replica.lease().unwrap().expires_at(),
        Some(sent + 450 * MILLISECOND)
    );
}

/// Guards against a read that is confirmed by the answers to a heartbeat round sent before it.
#[test]
fn read_needs_a_round_of_its_own() {
    let (mut replica, elected) = elect(Instant::now());
    replica.read(5).unwrap();
    replica.ready();
    replica.step(2, message(1, Body::HeartbeatReply { round: 1 }), elected);
    assert!(replica.ready().reads.is_empty());
    replica.step(2, message(1, Body::HeartbeatReply { round: 2 }), elected);
    let reads = replica.ready().reads;
    assert_eq!(reads.len(), 1);
    assert_eq!(reads[0].outcome, Ok(1));
}

/// Guards against a commit that counts the leader's copy before it is on disk, where a crash can
/// lose it.
#[test]
fn own_copy_counts_once_it_is_on_disk() {
    let (mut replica, now) = elect(Instant::now());
    replica.propose("x".into()).unwrap();
    let persist = replica.ready().persist.unwrap();
    replica.step(2, message(1, Body::Appended { matched: 2 }), now);
    assert_eq!(replica.status().commit, 1);
    replica.persisted(persist.sequence);
    assert_eq!(replica.status().commit, 2);
}

/// Guards against committing an entry of an earlier term because a quorum has it, although a
/// leader with a later entry may still overwrite it (Raft, figure 8).
#[test]
fn entries_of_earlier_terms_are_committed_by_a_later_one() {
    let mut replica = Replica::new(
        Config::new(1, 1),
        state_with_entries(&[1, 1]),
        Instant::now(),
    )
    .unwrap();
    let now = replica.deadline();
    replica.tick(now);
    drain_ready(&mut replica);
    replica.step(
        2,
        message(
            1,
            Body::PreVoteReply {
                campaign: 2,
                granted: true,
            },
        ),
        now,
    );
    drain_ready(&mut replica);
    replica.step(2, message(2, Body::VoteReply { granted: true }), now);
    drain_ready(&mut replica);
    replica.step(2, message(2, Body::Appended { matched: 2 }), now);
    assert_eq!(replica.status().commit, 0);
    replica.step(2, message(2, Body::Appended { matched: 3 }), now);
    assert_eq!(replica.status().commit, 3);
}

/// Guards against a write that is acknowledged late and counts for entries that have replaced the
/// written ones.
#[test]
fn late_write_does_not_count_for_replaced_entries() {
    let now = Instant::now();
    let mut replica = new_replica(now);
    replica.step(2, append_request(&[1, 1, 1], Position::default()), now);
    let old = replica.ready().persist.unwrap().sequence;
    replica.step(
        3,
        append_request(&[2, 2], Position { term: 1, index: 1 }),
        now,
    );
    let new = replica.ready().persist.unwrap();
    assert_eq!(new.truncate, Some(2));
    replica.persisted(old);
    assert_eq!(replica.status().persisted, 1);
    replica.persisted(new.sequence);
    assert_eq!(replica.status().persisted, 3);
}

/// Guards against electing a leader that lacks committed entries.
#[rstest]
#[case(Position { term: 1, index: 9 }, false)]
#[case(Position { term: 2, index: 2 }, false)]
#[case(Position { term: 2, index: 3 }, true)]
#[case(Position { term: 3, index: 1 }, true)]
fn votes_for_logs_that_are_up_to_date(#[case] last: Position, #[case] expected: bool) {
    let now = Instant::now();
    let mut replica = Replica::new(Config::new(1, 1), state_with_entries(&[1, 2, 2]), now).unwrap();
    let later = now + 600 * MILLISECOND;
    replica.step(2, message(9, Body::PreVote { last }), later);
    let campaign = 9;
    let granted = expected;
    let reply = message(2, Body::PreVoteReply { campaign, granted });
    assert_eq!(drain_ready(&mut replica)[0].message, reply);
    replica.step(
        2,
        message(
            9,
            Body::Vote {
                last,
                transfer: false,
            },
        ),
        later,
    );
    assert_eq!(is_granted(&drain_ready(&mut replica), 2), expected);
}

/// Guards against a commit of an entry that only the leader and learners have.
#[test]
fn learners_do_not_count_for_commits() {
    let mut durable = DurableState::bootstrap([1, 2, 3]);
    durable.snapshot.meta.membership.learners.extend([4, 5]);
    let (mut replica, now) = elect_with(Config::new(1, 1), durable, Instant::now());
    replica.propose("x".into()).unwrap();
    drain_ready(&mut replica);
    for learner in [4, 5] {
        replica.step(learner, message(1, Body::Appended { matched: 2 }), now);
    }
    assert_eq!(replica.status().commit, 1);
}

/// Guards against a learner that campaigns.
#[test]
fn learner_never_campaigns() {
    let mut durable = DurableState::bootstrap([2, 3]);
    durable.snapshot.meta.membership.learners.insert(1);
    let mut replica = Replica::new(Config::new(1, 1), durable, Instant::now()).unwrap();
    for _ in 0..5 {
        replica.tick(replica.deadline());
        assert!(drain_ready(&mut replica).is_empty());
    }
    replica.step(2, message(0, Body::TimeoutNow), replica.deadline());
    assert!(drain_ready(&mut replica).is_empty());
}

/// Guards against a snapshot that fills the connection and delays heartbeats.
#[test]
fn snapshot_chunks_stay_within_the_window() {
    let config = Config {
        chunk_bytes: 10,
        chunk_inflight_bytes: 30,
        ..Config::new(1, 1)
    };
    let mut durable = DurableState::bootstrap([1, 2, 3]);
    durable.snapshot.meta.last = Position { term: 0, index: 7 };
    durable.snapshot.data = vec![5; 100].into();
    let (mut replica, now) = elect_with(config, durable, Instant::now());
    let hint = Position::default();
    replica.step(
        3,
        message(1, Body::Rejected(Conflict { rejected: 7, hint })),
        now,
    );
    assert_eq!(chunk_offsets(&drain_ready(&mut replica)), [0, 10, 20]);
    let last = Position { term: 0, index: 7 };
    let reply = Body::ChunkReply {
        last,
        received: 10,
        rewind: false,
    };
    replica.step(3, message(1, reply), now);
    assert_eq!(chunk_offsets(&drain_ready(&mut replica)), [30]);
}

fn chunk_offsets(envelopes: &[Envelope]) -> Vec<u64> {
    let offset = |envelope: &Envelope| match &envelope.message.body {
        Body::Chunk(chunk) => Some(chunk.offset),
        _ => None,
    };
    envelopes.iter().filter_map(offset).collect()
}

/// Entries with the given terms, following the position `previous`.
fn entries(terms: &[Term], previous: Position) -> Vec<Entry> {
    let entry = |(index, &term)| Entry {
        position: Position { term, index },
        payload: Payload::Empty,
    };
    (previous.index + 1..).zip(terms).map(entry).collect()
}

fn append_request(terms: &[Term], previous: Position) -> Message {
    let append = Append {
        previous,
        entries: entries(terms, previous),
        commit: 0,
    };
    message(terms[0], Body::Append(append))
}

/// Durable state of a voter whose log has entries with the given terms.
fn state_with_entries(terms: &[Term]) -> DurableState {
    let mut durable = DurableState::bootstrap([1, 2, 3]);
    durable.entries = entries(terms, Position::default());
    durable.hard_state.term = terms[terms.len() - 1];
    durable
}
