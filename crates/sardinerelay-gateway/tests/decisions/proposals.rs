//! Which replies proposals get whose place in the log another entry may have taken.

use {
    sardinerelay::raft::Position,
    sardinerelay_gateway::group::Outcome,
    sardinerelayd::control::proposals::Proposals,
    tokio::sync::oneshot::{Receiver, channel},
};

fn at(term: u64, index: u64) -> Position {
    Position { term, index }
}

fn propose(proposals: &mut Proposals<Outcome>, position: Position) -> Receiver<Outcome> {
    let (reply, outcome) = channel();
    proposals.insert(position, reply);
    outcome
}

/// Guards against a change that counts as accepted although another leader's entry has taken its place.
#[test]
fn an_entry_of_another_term_is_not_the_proposal() {
    let mut proposals = Proposals::default();
    let mut lost = propose(&mut proposals, at(2, 7));
    let mut kept = propose(&mut proposals, at(2, 8));
    assert!(proposals.take_committed(at(3, 7)).is_none());
    assert_eq!(lost.try_recv(), Ok(Outcome::Unknown));
    let reply = proposals
        .take_committed(at(2, 8))
        .expect("it is the proposal");
    assert!(kept.try_recv().is_err(), "the driver sends the reply");
    reply.send(Outcome::Done(1)).expect("it waits");
    assert_eq!(kept.try_recv(), Ok(Outcome::Done(1)));
}

#[test]
fn proposals_that_a_snapshot_or_another_leader_covers_end_as_unknown() {
    let mut proposals = Proposals::default();
    let mut covered = propose(&mut proposals, at(2, 7));
    let mut replaced = propose(&mut proposals, at(2, 8));
    let mut later = propose(&mut proposals, at(4, 8));
    proposals.end_through(7);
    assert_eq!(covered.try_recv(), Ok(Outcome::Unknown));
    assert_eq!(replaced.try_recv(), Ok(Outcome::Unknown));
    assert!(later.try_recv().is_err());
    proposals.end_all();
    assert_eq!(later.try_recv(), Ok(Outcome::Unknown));
}
