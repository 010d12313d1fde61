//! Tests of the regions in which requests may run.

use {
    super::fixtures::{SERVICE, ZONES, instance, need, observations},
    rand::{SeedableRng as _, rngs::StdRng},
    rstest::rstest,
    sardinerelay::id::Region,
    sardinerelay_gateway::{
        allocator::Scope,
        homes::{Homes, Regions},
        placement::{self, Need, Secondary},
        targets::Targets,
    },
    std::time::Instant,
};

fn homes(regions: &[&str]) -> Homes {
    Homes::new(regions.iter().map(|region| (*region).into()).collect())
}

/// Returns six engines: zones a and b are in the region north, zone c in south.
fn targets(now: Instant) -> Targets {
    let mut targets = Targets::default();
    let regions = ["north", "north", "south"].map(Region::from);
    let zones = ZONES.iter().map(|zone| (*zone).into());
    targets.regions = Regions::new(zones.zip(regions).collect());
    targets.merge(&observations(1, &[1_000; 6]), now);
    targets
}

/// Guards against a generation, a move or a call that leaves its region because the engines there are busier.
#[rstest]
#[case::north(&["north"], &["a", "b"])]
#[case::south(&["south"], &["c"])]
#[case::both(&["north", "south"], &["a", "b", "c"])]
#[case::elsewhere(&["west"], &[])]
fn requests_stay_in_their_regions(#[case] regions: &[&str], #[case] zones: &[&str]) {
    let now = Instant::now();
    let targets = targets(now);
    let mut rng = StdRng::seed_from_u64(1);
    let need = Need {
        homes: homes(regions),
        zone: "c".into(),
        ..need()
    };
    let zone_of = |target: &str| targets.get(target).map(|state| state.instance.zone.clone());
    for scope in [Scope::Group, Scope::Local] {
        let choice = placement::choose(&targets, &need, (scope, &[]), &mut rng, now);
        let zone = choice.and_then(|choice| zone_of(&choice.target));
        assert_eq!(zone.is_some(), !zones.is_empty());
        assert!(zone.is_none_or(|zone| zones.contains(&zone.as_str())));
        for number in 0..6 {
            let primary = targets.get(&instance(number).target).expect("it is listed");
            let constraints = (Secondary::Move, scope, primary, &[][..]);
            let to = placement::choose_secondary(&targets, &need, constraints, &mut rng, now);
            let zone = to.and_then(|to| zone_of(&to));
            assert!(zone.is_none_or(|zone| zones.contains(&zone.as_str())));
        }
    }
    assert_eq!(
        targets.lack_home(SERVICE, &need.homes, now),
        zones.is_empty()
    );
}

/// Guards against a request that waits or leaves its region when its last target there stops.
#[test]
fn a_request_without_a_reachable_home_is_refused() {
    let now = Instant::now();
    let mut targets = targets(now);
    let south = homes(&["south"]);
    assert!(!targets.lack_home(SERVICE, &south, now));
    for number in [2, 5] {
        targets.mark_leaving(&instance(number).target, now);
    }
    assert!(targets.lack_home(SERVICE, &south, now));
    assert!(!targets.lack_home(SERVICE, &Homes::default(), now));
}

#[test]
fn the_homes_of_a_route_and_an_organisation_both_apply() {
    let targets = targets(Instant::now());
    let allow = |homes: &Homes, zone: &str| targets.regions.allow(homes, &zone.into());
    let both = homes(&["north", "south"]).and(&homes(&["south"]));
    assert!(allow(&both, "c") && !allow(&both, "a"));
    let none = homes(&["north"]).and(&homes(&["south"]));
    assert!(!allow(&none, "a") && !allow(&none, "c"));
    let one = homes(&[]).and(&homes(&["north"]));
    assert!(allow(&one, "a") && !allow(&one, "c"));
}

/// Guards against a zone that the settings don't list and that counts as part of any region.
#[test]
fn an_unknown_zone_is_a_region_of_its_own() {
    let regions = Regions::default();
    assert!(regions.allow(&homes(&["a"]), &"a".into()));
    assert!(!regions.allow(&homes(&["north"]), &"a".into()));
    assert!(regions.allow(&Homes::default(), &"a".into()));
}
