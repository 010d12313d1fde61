//! Orders that evacuate zones: the register, and what hosts do with the orders.

use {
    super::fixtures::{SERVICE, instance, need, observations, targets},
    rand::{Rng as _, SeedableRng as _, rngs::StdRng},
    sardinerelay::id::Zone,
    sardinerelay_gateway::{
        control::suspension::Detector,
        group::{
            evacuation::{Evacuations, Order, ZoneOrder},
            register::{Command, Document, Kind, Register},
        },
        moves::{Departure, Moves},
        placement::Need,
        targets::Targets,
    },
    serde::{Deserialize, Serialize},
    std::time::{Duration, Instant},
};

/// Returns an order as the host that receives it makes it.
fn order(register: &Register, zone: &str, is_evacuated: bool) -> Order {
    Order {
        zone: zone.into(),
        is_evacuated,
        base: register.evacuations.revision_of(zone),
    }
}

/// Applies an order by way of the log. Returns whether it is acknowledged.
fn apply(register: &mut Register, order: &Order) -> bool {
    let encoded = Command::Order(order.clone()).encode();
    let encoded = encoded.expect("an order can be encoded");
    let command = Command::decode(&encoded).expect("an order can be read");
    assert_eq!(command, Command::Order(order.clone()));
    register.apply(command);
    register.evacuations.revision_in_force(order) > 0
}

/// Guards against an order that is lost or undone by one that was received before its acknowledgement.
#[test]
fn an_acknowledged_order_stays_until_one_that_was_received_later() {
    for seed in 0..200 {
        let mut random = StdRng::seed_from_u64(seed);
        let mut register = Register::default();
        // Orders that were received and may be applied at any time, more than once.
        let mut delayed: Vec<(Order, u64)> = Vec::new();
        let mut acknowledged: Vec<(Zone, bool, u64)> = Vec::new();
        for step in 0..120 {
            if delayed.is_empty() || random.random_bool(0.4) {
                let zone = ["a", "b", "c"][random.random_range(0..3)];
                let received = order(&register, zone, random.random_bool(0.5));
                delayed.push((received, step));
            }
            let (order, received) = delayed[random.random_range(0..delayed.len())].clone();
            let before = register.clone();
            if apply(&mut register, &order) {
                acknowledged.retain(|(zone, ..)| *zone != order.zone);
                acknowledged.push((order.zone.clone(), order.is_evacuated, step));
            }
            assert!(register.evacuations.revision >= before.evacuations.revision);
            for (zone, is_evacuated, at) in &acknowledged {
                let is_kept = register.evacuations.is_evacuated(zone) == *is_evacuated;
                assert!(is_kept, "seed {seed}: {zone} at step {step}");
                let was_late = *zone == order.zone && received < *at && *at < step;
                let changed = before.evacuations.is_evacuated(zone) != *is_evacuated;
                assert!(!(was_late && changed), "seed {seed}: {order:?}");
            }
            if random.random_bool(0.1) {
                // A replica that starts again, or gets a snapshot from another one.
                let snapshot = postcard::to_stdvec(&register).expect("a snapshot");
                assert_eq!(postcard::from_bytes(&snapshot), Ok(register.clone()));
            }
        }
    }
}

/// Guards against an order that was given up, then revoked before it took effect, and took effect after that.
#[test]
fn a_delayed_order_does_nothing_after_an_order_that_changed_nothing() {
    let mut register = Register::default();
    let delayed = order(&register, "a", true);
    let revoking = order(&register, "a", false);
    assert!(apply(&mut register, &revoking));
    assert!(!apply(&mut register, &delayed));
    assert!(!register.evacuations.is_evacuated("a"));
}

/// Guards against a table of orders that grows without bound.
#[test]
fn the_number_of_zones_is_bounded() {
    let mut register = Register::default();
    for number in 0..300 {
        let order = order(&register, &format!("z{number}"), true);
        assert_eq!(apply(&mut register, &order), number < 256);
    }
    assert_eq!(register.evacuations.zones.len(), 256);
}

/// A command and a register as replicas of the earlier version know them.
#[derive(Debug, Serialize, Deserialize)]
enum EarlierCommand {
    Submit(Document),
    Grow(u32),
}

#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct EarlierExclusion {
    kind: Kind,
    subject: u64,
    until_ms: u64,
}

#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct EarlierRegister {
    newest: Option<Document>,
    voters: u32,
    exclusions: Vec<EarlierExclusion>,
}

/// Guards against replicas of the earlier version that end, or that refuse random subjects, because of an order.
#[test]
fn the_earlier_version_reads_an_order_as_nothing() {
    let register = Register::default();
    for zone in ["a", "a zone with a long name"] {
        let command = Command::Order(order(&register, zone, true));
        let encoded = command.encode().expect("an order can be encoded");
        let earlier = postcard::from_bytes(&encoded).expect("the earlier version reads it");
        let EarlierCommand::Submit(Document { version: 0, body }) = earlier else {
            panic!("the earlier version reads {earlier:?}");
        };
        let exclusions = postcard::from_bytes::<Vec<EarlierExclusion>>(&body);
        assert!(exclusions.is_err(), "{exclusions:?}");
    }
}

/// Guards against snapshots that one of two versions side by side can't read.
#[test]
fn snapshots_are_read_across_versions() {
    let earlier = EarlierRegister {
        newest: None,
        voters: 5,
        exclusions: Vec::new(),
    };
    let written = postcard::to_stdvec(&earlier).expect("a snapshot can be encoded");
    let mut register: Register = postcard::from_bytes(&written).expect("this version reads it");
    assert_eq!(register.evacuations, Evacuations::default());
    let order = order(&register, "a", true);
    apply(&mut register, &order);
    let written = postcard::to_stdvec(&register).expect("a snapshot can be encoded");
    assert_eq!(postcard::from_bytes(&written), Ok(earlier));
}

/// Orders of which the last one has this revision.
pub fn evacuations(orders: &[(&str, bool, u64)]) -> Evacuations {
    let zones = orders.iter().map(|(zone, is_evacuated, revision)| {
        let order = ZoneOrder {
            is_evacuated: *is_evacuated,
            revision: *revision,
        };
        ((*zone).into(), order)
    });
    Evacuations {
        revision: orders.iter().map(|order| order.2).max().unwrap_or(0),
        zones: zones.collect(),
    }
}

fn usable(targets: &Targets, now: Instant) -> Vec<&str> {
    let usable = targets.usable(SERVICE, now);
    let mut usable: Vec<&str> = usable.map(|state| state.instance.target.as_str()).collect();
    usable.sort_unstable();
    usable
}

/// Guards against hosts that return to an older order when a voter that lags answers them.
#[test]
fn targets_of_an_evacuated_zone_are_not_usable_until_a_newer_order() {
    let now = Instant::now();
    let mut targets = targets(&[0, 0, 0], now);
    targets.set_evacuations(&evacuations(&[("b", true, 2)]), now);
    assert_eq!(usable(&targets, now), ["e0", "e2"]);
    assert_eq!(
        targets.set_evacuations(&evacuations(&[("b", false, 1)]), now),
        []
    );
    assert_eq!(usable(&targets, now), ["e0", "e2"]);
    // A target that is listed later is in the zone as well.
    let mut listed = observations(2, &[0; 6]);
    listed.list_age_ms = 0;
    targets.merge(&listed, now + Duration::from_millis(1));
    assert_eq!(usable(&targets, now), ["e0", "e2", "e3", "e5"]);
    targets.set_evacuations(&evacuations(&[("b", false, 3)]), now);
    assert_eq!(usable(&targets, now).len(), 6);
}

/// Guards against full load on targets that were replaced during the evacuation, as long as the list can't show it.
#[test]
fn targets_count_as_cold_after_an_evacuation_until_a_later_list() {
    let began = Instant::now();
    let after = |ms: u64| began + Duration::from_millis(ms);
    let mut targets = targets(&[0, 0], began);
    let is_cold = |targets: &Targets, target: &str, now: Instant| {
        let state = targets.get(target).expect("a known target");
        state.is_cold(now)
    };
    targets.set_evacuations(&evacuations(&[("b", true, 1)]), after(0));
    assert!(!is_cold(&targets, "e1", after(10)));
    targets.set_evacuations(&evacuations(&[("b", false, 2)]), after(1_000));
    for read in [1_200, 2_900] {
        targets.merge(&observations(read, &[0, 0]), after(read));
        targets.add_missing(&[instance(4)], after(read));
        assert!(is_cold(&targets, "e1", after(read)));
        assert!(is_cold(&targets, "e4", after(read)));
        assert!(!is_cold(&targets, "e0", after(read)));
    }
    let mut listed = observations(4, &[0, 0]);
    listed.list_age_ms = 300;
    targets.merge(&listed, after(3_200));
    assert!(is_cold(&targets, "e1", after(3_200)), "the list is too old");
    targets.merge(&observations(5, &[0, 0]), after(3_300));
    assert!(!is_cold(&targets, "e1", after(3_300)));
    // The list says for how long a target remains cold.
    let mut listed = observations(6, &[0, 0]);
    listed.instances[1].cold_ms = 500;
    targets.merge(&listed, after(3_400));
    assert!(is_cold(&targets, "e1", after(3_800)));
    assert!(!is_cold(&targets, "e1", after(4_000)));
}

/// Guards against an order that waited in the socket of a suspended process and counts as new when it goes on.
#[test]
fn a_process_that_was_suspended_distrusts_requests_for_a_second() {
    let began = Instant::now();
    let after = |ms: u64| began + Duration::from_millis(ms);
    let detector = Detector::new(began);
    assert!((0..20).all(|check| detector.check(after(check * 300))));
    assert!(!detector.check(after(9_000)));
    assert!(!detector.check(after(9_700)));
    assert!(detector.check(after(10_100)));
}

/// Guards against moves out of a zone that take the links and the room from generations whose engines stop.
#[test]
fn generations_of_engines_that_stop_move_before_those_of_an_evacuated_zone() {
    let now = Instant::now();
    let departure = |run: u64, from: usize, tokens: u64| Departure {
        run,
        from: instance(from).target,
        need: Need {
            output_tokens: 5_000,
            ..need()
        },
        tokens,
        avoid: Vec::new(),
    };
    // Engine 1 is in an evacuated zone, engine 2 stops.
    let mut moves = Moves::default();
    for (run, from, tokens) in [(1, 1, 3_100), (2, 1, 4_000), (3, 2, 5_000), (4, 2, 3_200)] {
        moves.request(departure(run, from, tokens), now);
    }
    moves.put_first(|from| *from != instance(1).target);
    let mut room = 1;
    let mut asked = Vec::new();
    let mut decide = |moves: &mut Moves, room: &mut u32, now: Instant| {
        let granted = moves.decide(now, |departure| {
            asked.push(departure.run);
            let has_room = *room > 0;
            *room = room.saturating_sub(1);
            has_room.then(|| instance(9).target)
        });
        let granted = granted.into_iter().map(|(run, _)| run);
        (granted.collect::<Vec<u64>>(), std::mem::take(&mut asked))
    };
    // While one whose engine stops has no room, no other generation takes any.
    assert_eq!(decide(&mut moves, &mut room, now), (vec![4], vec![4, 3]));
    room = 4;
    assert_eq!(decide(&mut moves, &mut room, now), (vec![], vec![3, 2]));
    moves.remove(4);
    assert_eq!(decide(&mut moves, &mut room, now), (vec![3], vec![]));
    moves.remove(3);
    // Then those that would lose most, one of each engine at a time.
    assert_eq!(decide(&mut moves, &mut room, now), (vec![2], vec![]));
    assert_eq!(decide(&mut moves, &mut room, now), (vec![], vec![]));
    moves.remove(2);
    assert_eq!(decide(&mut moves, &mut room, now), (vec![1], vec![1]));
}
