//! Tests of the bound on requests to cold targets.

use {
    super::fixtures::{SERVICE, instance, need, observations},
    rand::{SeedableRng as _, rngs::StdRng},
    rstest::rstest,
    sardinerelay_gateway::{
        allocator::Scope,
        limit::permit::{Known, Reply, Request},
        placement::{self, Need, Secondary},
        table::{Engine, Service},
        targets::Targets,
    },
    std::time::{Duration, Instant},
};

/// Of a bound of 4 x 1.5 + 5 requests, the allocating host uses 0.4.
const GROUP_BOUND: usize = 4;
const SECOND: Duration = Duration::from_secs(1);

fn service(is_engine: bool) -> Service {
    let engine = Engine {
        slots: 64,
        memory_tokens: 30_000,
        supports_copies: true,
        supports_moves: true,
        max_reservation: None,
        tokens_per_event: 1,
    };
    Service {
        name: SERVICE.into(),
        max_connections: 64,
        engine: is_engine.then_some(engine),
        cold_rate: Some(4.0),
        cold_start: None,
    }
}

/// Returns two targets, of which the second is warm, and sets when the first one's cold time ends.
fn targets(is_engine: bool, cold_ms: u64, now: Instant) -> Targets {
    let mut targets = Targets::default();
    targets.pacing.host = "entry-1".into();
    targets.set_paced_services(&[service(is_engine)]);
    let mut observed = observations(1, &[1_000, 1_000]);
    observed.entry_hosts = 300;
    observed.instances[0].cold_ms = cold_ms;
    targets.merge(&observed, now);
    targets
}

fn request(is_cold: bool) -> Request {
    let known = Known {
        target: instance(0).target,
        incarnation: 1,
        rate: None,
    };
    Request {
        targets: vec![known],
        max_wait: Duration::ZERO,
        cold: vec![is_cold],
    }
}

/// Guards against calls that a cold target gets beyond the allocating host's part, also if only the asking host
/// knows that it is cold.
#[rstest]
#[case::listed(5_000, false)]
#[case::said_to_the_host(0, true)]
fn calls_to_a_cold_target_need_a_permit(#[case] cold_ms: u64, #[case] is_known_cold: bool) {
    let now = Instant::now();
    let mut targets = targets(false, cold_ms, now);
    let request = request(is_known_cold);
    let replies = (0..10).map(|_| targets.grant(&request, Scope::Group, now));
    let granted = replies.filter(|reply| matches!(reply, Reply::Granted(..)));
    assert_eq!(granted.count(), GROUP_BOUND);
    let Reply::Refused(retry_after) = targets.grant(&request, Scope::Group, now) else {
        panic!("the target has no room");
    };
    assert!(
        retry_after <= SECOND + Duration::from_millis(50),
        "{retry_after:?}"
    );
    let granted = targets.grant(&request, Scope::Group, now + retry_after);
    assert_eq!(granted, Reply::Granted(0, Duration::ZERO));
}

#[test]
fn a_warm_plain_target_is_not_paced() {
    let now = Instant::now();
    let mut targets = targets(false, 0, now);
    let granted =
        |_| targets.grant(&request(false), Scope::Group, now) == Reply::Granted(0, Duration::ZERO);
    assert!((0..100).all(granted));
}

/// Guards against a target that says that it is cold before the list does, and counts as warm when a list that
/// was read earlier arrives.
#[test]
fn a_list_does_not_end_what_a_target_says_of_itself() {
    let now = Instant::now();
    let mut targets = targets(false, 0, now);
    targets.record_cold(&instance(0).target, 2 * SECOND, now);
    targets.merge(&observations(2, &[1_000, 1_000]), now + SECOND);
    let state = targets.get(&instance(0).target).expect("it is listed");
    assert!(targets.is_paced(state, now + SECOND));
    assert!(!targets.is_paced(state, now + 3 * SECOND));
}

/// Guards against generations, copies and moves that an engine gets beyond the bound, also if the list doesn't
/// say yet that it is cold.
#[test]
fn engines_are_paced_at_all_times_where_the_group_allocates() {
    let now = Instant::now();
    let mut targets = targets(true, 0, now);
    let mut rng = StdRng::seed_from_u64(1);
    let engine = instance(0).target;
    let avoid = [instance(1).target];
    let mut placed = 0;
    while placement::choose(&targets, &need(), (Scope::Group, &avoid), &mut rng, now).is_some() {
        targets.charge_limit(&engine, Scope::Group, now);
        placed += 1;
        assert!(placed <= GROUP_BOUND);
    }
    assert_eq!(placed, GROUP_BOUND);
    let primary = targets.get(&avoid[0]).expect("it is listed");
    let constraints = (Secondary::Move, Scope::Group, primary, &[][..]);
    let to = placement::choose_secondary(&targets, &need(), constraints, &mut rng, now);
    assert_eq!(to, None, "the engine has no room for a move");
    // A request that another target turned away makes room again.
    targets.give_back(&(engine.clone(), 1), now);
    let choice = placement::choose(&targets, &need(), (Scope::Group, &avoid), &mut rng, now);
    assert_eq!(choice.map(|choice| choice.target), Some(engine));
}

/// Guards against 300 hosts that each send to a cold engine while the allocating host can't be reached.
#[test]
fn few_hosts_send_to_a_cold_engine_on_their_own() {
    let now = Instant::now();
    let mut rng = StdRng::seed_from_u64(1);
    let avoid = [instance(1).target];
    let sending = (0..300).filter(|host| {
        let mut targets = targets(true, 5_000, now);
        targets.pacing.host = format!("entry-{host}").into();
        placement::choose(&targets, &need(), (Scope::Local, &avoid), &mut rng, now).is_some()
    });
    assert!(sending.count() <= 3);
}

/// Guards against long prompts on an engine that reads slowly while a warm one has room, and against a cold
/// engine that gets nothing.
#[rstest]
#[case::short(100, 0)]
#[case::long(4_000, 1)]
fn a_cold_engine_gets_short_prompts_first(#[case] prompt_tokens: u64, #[case] expected: usize) {
    let now = Instant::now();
    let mut targets = targets(true, 5_000, now);
    let need = Need {
        prompt_tokens,
        zone: instance(expected).zone,
        ..need()
    };
    let mut rng = StdRng::seed_from_u64(1);
    let choice = placement::choose(&targets, &need, (Scope::Group, &[]), &mut rng, now);
    let target = choice.expect("there is room").target;
    assert_eq!(target, instance(expected).target);
    // Without room on the warm engine the cold one takes a long prompt too.
    targets.record_no_room(&instance(1).target, now);
    let choice = placement::choose(&targets, &need, (Scope::Group, &[]), &mut rng, now);
    assert_eq!(choice.map(|choice| choice.target), Some(instance(0).target));
}
