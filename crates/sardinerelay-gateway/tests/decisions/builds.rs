//! Placement while targets of several builds serve, and what is remembered of streams.

use {
    super::fixtures::{SERVICE, instance, need, observations, targets_after_crash},
    rand::{SeedableRng as _, rngs::StdRng},
    rstest::rstest,
    sardinerelay::id::Build,
    sardinerelay_gateway::{
        admission::{Decision, Queue, Waiter},
        allocator::{Answer, Reply, Scope},
        builds::History,
        group::Acquire,
        homes::Homes,
        observations::{Builds, Instance, Observations},
        origin::{Began, Origins},
        placement::{self, Choice, Need, Secondary},
        targets::Targets,
    },
    sardinerelayd::peer::Packed,
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    std::time::{Duration, Instant},
};

/// Memory in use at the first four engines. Those of the second build have more room.
const USED: [u64; 4] = [9_000, 0, 8_000, 0];
/// Time in which a stream must have begun.
const WINDOW: Duration = Duration::from_secs(12);

/// Engines of which each second one has another build.
fn mixed() -> Observations {
    let mut observations = observations(1, &USED);
    for (number, instance) in observations.instances.iter_mut().enumerate() {
        instance.build = build(number);
    }
    observations
}

fn build(number: usize) -> Build {
    if number.is_multiple_of(2) { "v1" } else { "v2" }.into()
}

fn mixed_targets(now: Instant) -> Targets {
    targets_after_crash(&mixed(), now)
}

fn listed(builds: &[&str]) -> Vec<Instance> {
    let builds = builds.iter().enumerate();
    builds
        .map(|(number, build)| Instance {
            build: (*build).into(),
            ..instance(number)
        })
        .collect()
}

#[rstest]
#[case::of_the_first("v1", Some("e2"))]
#[case::of_the_second("v2", Some("e1"))]
#[case::that_no_engine_has("v3", None)]
fn a_continuation_goes_to_an_engine_of_another_build(
    #[case] build: &str,
    #[case] expected: Option<&str>,
) {
    let now = Instant::now();
    let need = Need {
        build: Some(build.into()),
        zone: "b".into(),
        ..need()
    };
    let mut rng = StdRng::seed_from_u64(1);
    let chosen = placement::choose(
        &mixed_targets(now),
        &need,
        (Scope::Group, &[]),
        &mut rng,
        now,
    );
    let chosen = chosen.map(|choice| choice.target.to_string());
    assert_eq!(chosen.as_deref(), expected);
}

#[rstest]
#[case::copies(Secondary::Copy)]
#[case::moves(Secondary::Move)]
fn memory_goes_to_an_engine_of_another_build(#[case] secondary: Secondary) {
    let now = Instant::now();
    let targets = mixed_targets(now);
    for number in 0..USED.len() {
        let primary = targets.get(&instance(number).target).expect("it is listed");
        let mut rng = StdRng::seed_from_u64(1);
        let constraints = (secondary, Scope::Group, primary, &[][..]);
        let to = placement::choose_secondary(&targets, &need(), constraints, &mut rng, now);
        let to = to.expect("an engine of the same build has room");
        let known = targets.get(&to).expect("it is listed");
        assert_eq!(known.instance.build, build(number));
    }
}

/// A stream whose build has no room must not hold up all others of its service.
#[test]
fn a_stream_of_a_full_build_blocks_the_queue() {
    let now = Instant::now();
    let mut queue = Queue::default();
    for (run, build) in [(1, Some("v1".into())), (2, None)] {
        let waiter = Waiter {
            run,
            need: Need { build, ..need() },
            arrived: now,
            deadline: now + Duration::from_secs(1),
        };
        queue.offer(waiter, now).expect("it can wait");
    }
    let decided = queue.decide(now, |waiter, _| {
        let choice = Choice {
            target: "e1".into(),
            copy: None,
        };
        let is_free = waiter.need.build.is_none();
        is_free.then_some(choice).ok_or_else(Vec::new)
    });
    let [(2, Decision::Placed(_))] = decided[..] else {
        panic!("{decided:?}");
    };
}

#[test]
fn a_build_that_has_just_left_is_forgotten() {
    let now = Instant::now();
    let at = |seconds: u64| now + Duration::from_secs(seconds);
    let mut history = History::default();
    let only = |history: &History, second| {
        history.only_build(&SERVICE.into(), WINDOW, (at(second), at(second)))
    };
    for second in 0..40 {
        // Replaced at 20 s.
        let builds = if second < 20 {
            ["v1", "v1"]
        } else {
            ["v2", "v2"]
        };
        history.record(&listed(&builds), at(second), at(second));
        let expected: Option<&str> = match second {
            // The list has to be known for the whole window.
            0..12 => None,
            12..20 => Some("v1"),
            20..35 => None,
            _ => Some("v2"),
        };
        assert_eq!(
            only(&history, second).as_deref(),
            expected,
            "second {second}"
        );
    }
    assert_eq!(only(&history, 60), None, "the list is too old");
    history.record(&listed(&["v2"]), at(60), at(60));
    assert_eq!(
        only(&history, 61),
        None,
        "targets may have come and gone unseen"
    );
}

/// Guards against a host that was out of step and takes the only build of its last list for that of a stream
/// which began at a newer one.
#[rstest]
#[case::read_after_the_question(20, 20, Some("v1"))]
#[case::read_before_the_question(19, 19, None)]
#[case::waited_at_a_host_that_stood_still(20, 19, None)]
fn only_a_list_read_after_the_question_tells_the_only_build(
    #[case] last_read: u64,
    #[case] last_confirmed: u64,
    #[case] expected: Option<&str>,
) {
    let now = Instant::now();
    let at = |seconds: u64| now + Duration::from_secs(seconds);
    let mut history = History::default();
    for second in 0..last_read {
        history.record(&listed(&["v1"]), at(second), at(second.min(last_confirmed)));
    }
    history.record(&listed(&["v1"]), at(last_read), at(last_confirmed));
    let question = (at(20), at(20));
    let only = history.only_build(&SERVICE.into(), WINDOW, question);
    assert_eq!(only.as_deref(), expected);
}

#[test]
fn the_build_of_another_stream_is_given() {
    let now = Instant::now();
    let mut origins = Origins::default();
    for number in 0..100_usize {
        let began = Began {
            stream: format!("s{number}").into(),
            build: build(number),
            lifetime: Duration::from_secs(10),
        };
        origins.record(&began, now);
    }
    assert_eq!(origins.find(&"s7".into(), now), Some("v2".into()));
    assert_eq!(origins.find(&"s100".into(), now), None);
    let later = now + Duration::from_secs(10);
    assert_eq!(origins.find(&"s7".into(), later), None, "it has expired");
}

#[test]
fn streams_are_remembered_for_ever() {
    let now = Instant::now();
    let mut origins = Origins::default();
    for number in 0..20_000_u64 {
        let began = Began {
            stream: number.to_string().into(),
            build: "v1".into(),
            lifetime: Duration::from_secs(6),
        };
        origins.record(&began, now + Duration::from_millis(number));
    }
    assert!(origins.len() <= 7_000, "{} are remembered", origins.len());
}

/// The fields of a message of the version before, which the first ones of the present message are.
fn as_earlier<Present, Earlier>(present: &Present) -> Earlier
where
    Present: Serialize,
    Earlier: DeserializeOwned,
{
    let text = serde_json::to_string(&Packed(present)).expect("it can be encoded");
    let Packed(earlier) = serde_json::from_str(&text).expect("an earlier version can parse it");
    earlier
}

#[derive(Debug, Serialize, Deserialize)]
struct EarlierAcquire {
    run: u64,
    need: Need,
    left: Duration,
    wait: Duration,
}

#[test]
fn hosts_of_the_version_before_can_not_parse_a_request_for_an_engine() {
    let acquire = Acquire {
        run: 7,
        need: Need {
            build: Some("v1".into()),
            ..need()
        },
        remaining: Duration::from_secs(1),
        max_wait: Duration::from_secs(2),
        build: Some("v1".into()),
        homes: Homes::new(vec!["north".into()]),
    };
    let earlier: EarlierAcquire = as_earlier(&acquire);
    assert_eq!(
        (earlier.run, earlier.need, earlier.wait),
        (7, need(), Duration::from_secs(2))
    );
    let earlier = EarlierAcquire {
        run: 7,
        need: need(),
        left: Duration::from_secs(1),
        wait: Duration::from_secs(2),
    };
    let present: Acquire = as_earlier(&earlier);
    assert_eq!((present.run, present.build), (7, None));
    assert!(present.homes.is_anywhere());
}

#[test]
fn hosts_of_the_version_before_can_not_parse_a_reply() {
    let choice = Choice {
        target: "e0".into(),
        copy: None,
    };
    let reply = Reply::Placed(choice, listed(&["v1", "v2"]));
    let earlier: Reply = as_earlier(&Answer::from(reply.clone()));
    let Reply::Placed(_, instances) = &earlier else {
        panic!("{earlier:?}");
    };
    assert!(instances.iter().all(|instance| instance.build.is_empty()));
    let present: Answer = as_earlier(&earlier);
    assert_eq!(Reply::from(present), earlier);
    let present: Answer = as_earlier(&Answer::from(reply.clone()));
    assert_eq!(
        Reply::from(present),
        reply,
        "builds arrive between hosts of this version"
    );
}

#[test]
fn observations_lose_the_builds_of_targets() {
    let sent = mixed();
    let sent = Observations {
        builds: Builds::of(&sent.instances),
        ..sent
    };
    let mut received: Observations = as_earlier(&sent);
    received.builds.assign(&mut received.instances);
    assert_eq!(received, sent);
}

#[test]
fn a_host_without_builds_in_its_list_counts_as_one_build() {
    let now = Instant::now();
    let mut targets = targets_after_crash(&observations(1, &USED), now);
    let unknown: Vec<Instance> = listed(&["", "", "", ""]);
    let observations = Observations {
        instances: unknown,
        ..observations(2, &USED)
    };
    targets.merge(&observations, now + Duration::from_secs(1));
    let primary = targets.get("e0").expect("it is listed");
    let mut rng = StdRng::seed_from_u64(1);
    let constraints = (Secondary::Copy, Scope::Group, primary, &[][..]);
    let copy = placement::choose_secondary(&targets, &need(), constraints, &mut rng, now);
    assert!(copy.is_some());
}
