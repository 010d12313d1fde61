//! Membership changes that replace a voter.

use {
    rstest::rstest,
    sardinerelay::{
        id::Host,
        raft::{Change, Membership, Replacement, ReplacementError},
    },
};

// Guards against a membership change that is skipped, repeated, or leaves too few or too many
// voters.
#[rstest]
#[case(&[1, 2, 3], &[], (3, 4), Ok(Some(Change::AddLearner(4))))]
#[case(&[1, 2, 3], &[4], (3, 4), Ok(Some(Change::Promote(4))))]
#[case(&[1, 2, 3, 4], &[], (3, 4), Ok(Some(Change::Remove(3))))]
#[case(&[1, 2, 4], &[], (3, 4), Ok(None))]
#[case(&[1, 2, 3], &[], (3, 3), Err(ReplacementError::Same { host: 3 }))]
#[case(&[1, 2, 3], &[], (9, 4), Err(ReplacementError::NotVoter { host: 9 }))]
#[case(&[1, 2, 3], &[4], (4, 5), Err(ReplacementError::NotVoter { host: 4 }))]
#[case(&[1, 2, 3], &[], (3, 1), Err(ReplacementError::AlreadyVoter { host: 1, left: 2 }))]
#[case(&[1, 2, 3, 4], &[5], (2, 5), Err(ReplacementError::Another { voters: 4 }))]
fn each_membership_has_one_next_step(
    #[case] voters: &[Host],
    #[case] learners: &[Host],
    #[case] (old, new): (Host, Host),
    #[case] expected: Result<Option<Change>, ReplacementError>,
) {
    let membership = Membership {
        voters: voters.iter().copied().collect(),
        learners: learners.iter().copied().collect(),
    };
    let replacement = Replacement {
        old,
        new,
        voter_count: 3,
    };
    assert_eq!(replacement.next_change(&membership), expected);
}
