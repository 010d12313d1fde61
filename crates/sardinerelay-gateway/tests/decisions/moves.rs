//! Moves of generations off engines that are about to stop.

use {
    super::fixtures::{instance, need, observations},
    sardinerelay::id::Target,
    sardinerelay_gateway::{
        allocator::{Allocator, Reply, Scope},
        moves::{Departure, Moves},
        placement::Need,
    },
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A generation on the first engine that has `remaining` tokens still to generate.
fn departure(run: u64, remaining: u64) -> Departure {
    Departure {
        run,
        from: instance(0).target,
        need: Need {
            output_tokens: remaining,
            ..need()
        },
        tokens: need().prompt_tokens,
        avoid: Vec::new(),
    }
}

/// Returns the generations whose moves to the second engine are granted now.
fn granted(moves: &mut Moves, now: Instant) -> Vec<u64> {
    let granted = moves.decide(now, |_| Some(instance(1).target));
    granted.into_iter().map(|(run, _)| run).collect()
}

/// Time on the engine's link for a first copy, of all of a generation's memory, and for a last one,
/// of what was added since.
const COPY_TIMES: [Duration; 2] = [ms(190), ms(15)];
/// Time from the start of the moves until the engine stops.
const TIME_UNTIL_STOP: Duration = ms(900);
/// The longest pause between events that callers accept.
const MAX_EVENT_GAP: Duration = ms(180);

/// Simulates moves on a link that serves one copy after another. `next_start` returns the
/// generations that request their first copy at the given time; each requests its last copy when
/// the first is complete. Returns how many move in time without a long pause.
fn count_moved(mut next_start: impl FnMut(Duration) -> Vec<u64>) -> usize {
    let mut queue: Vec<(Duration, u64, usize)> = Vec::new();
    let (mut free, mut moved) = (Duration::ZERO, 0);
    let mut clock = Duration::ZERO;
    loop {
        queue.extend(next_start(clock).into_iter().map(|run| (clock, run, 0)));
        if queue.is_empty() {
            return moved;
        }
        let (requested_at, run, copy) = queue.remove(0);
        free = free.max(requested_at) + COPY_TIMES[copy];
        clock = free;
        match copy {
            0 => queue.push((free, run, 1)),
            _ if free <= TIME_UNTIL_STOP && free - requested_at <= MAX_EVENT_GAP => moved += 1,
            _ => {}
        }
    }
}

/// An engine with five generations stops 0.9 s after the hosts learn of it. If all five were copied
/// at once, the first copies would use up that time, and each last copy would wait behind the
/// copies of the others.
#[test]
fn four_of_five_generations_move_before_the_engine_stops() {
    let began = Instant::now();
    let mut all_at_once = Some(vec![1, 2, 3, 4, 5]);
    let unordered = count_moved(|_| all_at_once.take().unwrap_or_default());
    let mut moves = Moves::default();
    for run in 1..=5 {
        moves.request(departure(run, 500 + run), began);
    }
    let mut moving = None;
    let ordered = count_moved(|at| {
        // The previous move has ended once both of its copies are complete.
        if let Some(run) = moving.take().filter(|_| at > Duration::ZERO) {
            if is_move_complete(at) {
                moves.remove(run);
            } else {
                moving = Some(run);
                return Vec::new();
            }
        }
        let granted = granted(&mut moves, began + at);
        assert!(granted.len() <= 1, "one at a time");
        moving = granted.first().copied();
        granted
    });
    assert_eq!(unordered, 0);
    assert_eq!(ordered, 4);
}

/// Whether the present move has completed its first and its last copy at this time. Moves run one
/// after another, so that each ends at a multiple of the time of both copies.
fn is_move_complete(at: Duration) -> bool {
    let both = COPY_TIMES[0] + COPY_TIMES[1];
    at.as_millis().is_multiple_of(both.as_millis())
}

#[test]
fn the_generation_with_the_most_left_moves_first() {
    let now = Instant::now();
    let mut moves = Moves::default();
    for (run, remaining) in [(1, 100), (2, 900), (3, 400)] {
        moves.request(departure(run, remaining), now);
    }
    for expected in [2, 3, 1] {
        assert_eq!(granted(&mut moves, now), [expected]);
        assert_eq!(granted(&mut moves, now), [0; 0], "one at a time");
        moves.remove(expected);
    }
    assert!(moves.is_empty());
}

/// Time on the engine's link for each token that is moved to another availability zone, with memory of
/// 256 KiB a token on a link of 38 Gbit/s.
const NANOSECONDS_PER_TOKEN: u64 = 110_000;

/// Seven generations are on an engine that stops 1.3 s after the allocating host has learnt of it, which
/// isn't enough for all. The users' plans vary as much in length.
#[test]
fn short_notice_is_enough_for_most_generations_if_those_with_least_memory_go_first() {
    let began = Instant::now();
    let mut moves = Moves::default();
    let memory = [6_500, 1_900, 5_200, 2_600, 4_100, 1_700, 3_200];
    for (run, tokens) in (0..).zip(memory) {
        // The longer a prompt, the more there is to say about it.
        let moving = Departure {
            need: Need {
                prompt_tokens: tokens,
                output_tokens: tokens / 2,
                ..need()
            },
            tokens,
            ..departure(run, 0)
        };
        moves.request(moving, began);
    }
    let (mut elapsed, mut moved) = (Duration::ZERO, 0);
    while let [run] = granted(&mut moves, began + elapsed)[..] {
        elapsed += Duration::from_nanos(memory[run as usize] * NANOSECONDS_PER_TOKEN);
        moves.remove(run);
        if elapsed > ms(1_300) {
            break;
        }
        moved += 1;
    }
    assert_eq!(moved, 4);
}

/// Moves of one generation off the first engine and of one off the third.
fn moves_off_two_engines(now: Instant) -> Moves {
    let mut moves = Moves::default();
    moves.request(departure(1, 100), now);
    let other = Departure {
        from: instance(2).target,
        ..departure(2, 50)
    };
    moves.request(other, now);
    moves
}

#[test]
fn engines_dont_wait_for_each_other() {
    let now = Instant::now();
    let mut moves = moves_off_two_engines(now);
    let mut other = 3..;
    let granted = moves.decide(now, |_| other.next().map(|number| instance(number).target));
    assert_eq!(granted.len(), 2);
}

/// When several engines are reclaimed at once, one empty engine attracts all of their generations.
/// Copies queue on its link as they do on those of the sources.
#[test]
fn an_engine_receives_one_at_a_time() {
    let now = Instant::now();
    let mut moves = moves_off_two_engines(now);
    assert_eq!(granted(&mut moves, now), [1]);
    moves.remove(1);
    assert_eq!(granted(&mut moves, now), [2]);
}

/// The report of a move's end is lost if its host fails. The next move must start nevertheless.
#[test]
fn a_move_without_a_reported_end_delays_the_next_only_for_a_while() {
    let now = Instant::now();
    let mut moves = Moves::default();
    moves.request(departure(1, 900), now);
    moves.request(departure(2, 100), now);
    assert_eq!(granted(&mut moves, now), [1]);
    assert_eq!(granted(&mut moves, now + ms(1_000)), [0; 0]);
    assert_eq!(granted(&mut moves, now + ms(1_250)), [2]);
}

#[test]
fn a_failed_move_is_requested_again_and_returns_its_destination() {
    let now = Instant::now();
    let mut moves = Moves::default();
    assert_eq!(moves.request(departure(1, 900), now), None);
    assert_eq!(granted(&mut moves, now), [1]);
    assert_eq!(
        moves.request(departure(1, 900), now),
        Some(instance(1).target)
    );
    assert_eq!(granted(&mut moves, now), [1]);
}

/// An engine is reclaimed while new generations wait for memory. Running generations have already
/// cost memory and time, so they get memory first, also while they wait for their turn to move.
#[tokio::test]
async fn room_for_a_moving_generation_is_not_given_to_a_new_one() {
    let allocator = Arc::new(Allocator::new(Scope::Group));
    // The second engine has room for two more if its running generations grow as expected.
    let mut full = observations(1, &[20_000, 23_500]);
    full.instances[0].leaving = true;
    full.loads[1].load.running = 10;
    allocator.merge(&full);
    let wait = ms(30);
    let first = allocator.relocate(departure(1, 900), wait).await;
    assert!(matches!(first, Reply::Placed(..)), "{first:?}");
    let second = allocator.relocate(departure(2, 800), wait).await;
    assert_eq!(second, Reply::Waiting, "its turn is later");
    let deadline = Instant::now() + ms(60);
    let new = allocator.acquire(3, need(), deadline, wait).await;
    assert_eq!(new, Reply::Waiting);
    allocator.finish_move(1, true);
    let second = allocator.relocate(departure(2, 800), wait).await;
    assert!(matches!(second, Reply::Placed(..)), "{second:?}");
    // A failed move frees its destination.
    allocator.finish_move(2, false);
    let new = allocator.acquire(3, need(), deadline, wait).await;
    assert!(matches!(new, Reply::Placed(..)), "{new:?}");
}

/// A host may fail while its generation waits for its turn. A move that no host requests any more
/// must therefore expire.
#[test]
fn a_move_that_no_host_asks_for_expires() {
    let now = Instant::now();
    let mut moves = Moves::default();
    moves.request(departure(1, 900), now);
    moves.request(departure(2, 100), now);
    assert!(moves.decide(now, |_| None).is_empty(), "no room anywhere");
    moves.request(departure(2, 100), now + ms(1_500));
    assert_eq!(moves.expire(now + ms(2_500)), [(1, None)]);
    assert_eq!(granted(&mut moves, now + ms(2_500)), [2]);
    let to = Some(instance(1).target);
    assert_eq!(moves.expire(now + ms(5_000)), [(2, to)]);
    assert!(moves.is_empty());
}

/// Two engines are reclaimed at once, and one of them is noticed first. Before the other is noticed, it
/// refuses what is to move there. The refusal of one generation's memory is enough to know.
#[tokio::test]
async fn what_waits_for_its_turn_gets_another_destination_if_its_own_refuses_or_leaves() {
    let allocator = Arc::new(Allocator::new(Scope::Group));
    // The fourth engine is in the zone of the first and is preferred, then the second one.
    let mut loaded = observations(1, &[20_000, 8_000, 20_000, 4_000]);
    loaded.instances[0].leaving = true;
    allocator.merge(&loaded);
    let wait = ms(30);
    let first = allocator.relocate(departure(1, 900), wait).await;
    assert_eq!(destination(&first), Some(instance(3).target));
    let second = allocator.relocate(departure(2, 900), wait).await;
    assert_eq!(second, Reply::Waiting, "its turn is later");
    allocator.record_no_room(&instance(3).target);
    allocator.finish_move(1, false);
    let second = allocator.relocate(departure(2, 900), wait).await;
    assert_eq!(destination(&second), Some(instance(1).target));
    let third = allocator.relocate(departure(3, 900), wait).await;
    assert_eq!(third, Reply::Waiting, "its turn is later");
    let mut leaving = observations(2, &[20_000, 8_000, 20_000, 29_000]);
    leaving.instances[0].leaving = true;
    leaving.instances[1].leaving = true;
    allocator.merge(&leaving);
    allocator.finish_move(2, false);
    let third = allocator.relocate(departure(3, 900), wait).await;
    assert_eq!(destination(&third), Some(instance(2).target));
}

fn destination(reply: &Reply) -> Option<Target> {
    match reply {
        Reply::Placed(choice, _) => Some(choice.target.clone()),
        Reply::Refused(..) | Reply::Waiting => None,
    }
}
