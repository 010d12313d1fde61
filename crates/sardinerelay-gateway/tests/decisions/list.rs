//! Which of several entries of the list with one ID is used.

use {
    super::fixtures::instance,
    rstest::rstest,
    sardinerelay_gateway::{observations::Instance, observer::distinct},
};

/// An entry of the same target with another incarnation, service and state.
fn entry(incarnation: u64, service: &str, leaving: bool) -> Instance {
    Instance {
        incarnation,
        service: service.into(),
        leaving,
        ..instance(0)
    }
}

/// Guards against requests that run at a target of another service, since a second entry bears its ID.
#[rstest]
#[case::one(&[entry(1, "s", false)], Some((1, "s", false)))]
#[case::newer_incarnation_last(&[entry(1, "s", true), entry(2, "t", false)], Some((2, "t", false)))]
#[case::newer_incarnation_first(&[entry(2, "t", false), entry(1, "s", true)], Some((2, "t", false)))]
#[case::later_state(&[entry(1, "s", false), entry(1, "s", true)], Some((1, "s", true)))]
#[case::two_services(&[entry(1, "s", false), entry(1, "t", false)], None)]
#[case::two_services_and_again(&[entry(1, "s", false), entry(1, "t", false), entry(1, "s", false)], None)]
#[case::two_services_of_an_older_incarnation(
    &[entry(1, "s", false), entry(1, "t", false), entry(2, "s", false)],
    Some((2, "s", false))
)]
fn one_entry_of_a_target_is_used(
    #[case] entries: &[Instance],
    #[case] expected: Option<(u64, &str, bool)>,
) {
    let other = instance(1);
    let listed = [entries, std::slice::from_ref(&other)].concat();
    let (used, errors) = distinct(listed);
    let (of_target, others): (Vec<_>, Vec<_>) = used
        .into_iter()
        .partition(|used| used.target == instance(0).target);
    let found = of_target.first();
    let found = found.map(|found| (found.incarnation, found.service.as_str(), found.leaving));
    assert_eq!(found, expected);
    assert!(of_target.len() <= 1);
    assert_eq!(errors.is_empty(), expected.is_some(), "{errors:?}");
    assert_eq!(others, [other]);
}
