//! Moves off engines that are about to stop.

use {
    super::fixtures::{board, instance, need},
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

/// A generation on the first engine that has still `left` tokens to make.
fn departure(run: u64, left: u64) -> Departure {
    Departure {
        run,
        from: instance(0).target,
        need: Need {
            output: left,
            ..need()
        },
        tokens: need().prompt,
        avoid: Vec::new(),
    }
}

fn granted(moves: &mut Moves, now: Instant) -> Vec<u64> {
    let granted = moves.decide(now, |_| Some(instance(1).target));
    granted.into_iter().map(|(run, _)| run).collect()
}

/// Time that a copy of a whole generation takes on the engine's link, and one of what is new.
const COPIES: [Duration; 2] = [ms(190), ms(15)];
/// Time from the start of the moves until the engine ends.
const LEFT: Duration = ms(900);
/// The longest pause between events that callers accept.
const PAUSE: Duration = ms(180);

/// Plays moves on a link that serves one copy after another. Each entry of `starts` is when a
/// generation asks for its first copy; it asks for the last one when the first is complete.
/// Returns how many are there in time without a long pause.
fn saved(mut next_start: impl FnMut(Duration) -> Vec<u64>) -> usize {
    let mut queue: Vec<(Duration, u64, usize)> = Vec::new();
    let (mut free, mut saved) = (Duration::ZERO, 0);
    let mut clock = Duration::ZERO;
    loop {
        queue.extend(next_start(clock).into_iter().map(|run| (clock, run, 0)));
        if queue.is_empty() {
            return saved;
        }
        let (asked, run, copy) = queue.remove(0);
        free = free.max(asked) + COPIES[copy];
        clock = free;
        match copy {
            0 => queue.push((free, run, 1)),
            _ if free <= LEFT && free - asked <= PAUSE => saved += 1,
            _ => {}
        }
    }
}

/// Load pattern: an engine with five plans is reclaimed, and ends 0.9 s after the hosts know. Copies
/// of all five at once use up the time before any last copy, and each of those waits behind the
/// others' first ones.
#[test]
fn four_of_five_plans_leave_in_the_time_that_is_left() {
    let began = Instant::now();
    let mut all_at_once = Some(vec![1, 2, 3, 4, 5]);
    let unordered = saved(|_| all_at_once.take().unwrap_or_default());
    let mut moves = Moves::default();
    for run in 1..=5 {
        moves.request(departure(run, 500 + run), began);
    }
    let mut moving = None;
    let ordered = saved(|at| {
        // The move before has ended when the link has nothing to do.
        if let Some(run) = moving.take().filter(|_| at > Duration::ZERO) {
            if moves_again(at) {
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

/// Whether a first and a last copy are complete at this time, which are all that move then.
fn moves_again(at: Duration) -> bool {
    let both = COPIES[0] + COPIES[1];
    at.as_millis().is_multiple_of(both.as_millis())
}

#[test]
fn the_one_with_the_most_left_goes_first() {
    let now = Instant::now();
    let mut moves = Moves::default();
    for (run, left) in [(1, 100), (2, 900), (3, 400)] {
        moves.request(departure(run, left), now);
    }
    for wanted in [2, 3, 1] {
        assert_eq!(granted(&mut moves, now), [wanted]);
        assert_eq!(granted(&mut moves, now), [0; 0], "one at a time");
        moves.remove(wanted);
    }
    assert!(moves.is_empty());
}

/// One generation that leaves the first engine, and one that leaves the third.
fn off_two_engines(now: Instant) -> Moves {
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
    let mut moves = off_two_engines(now);
    let mut other = 3..;
    let granted = moves.decide(now, |_| other.next().map(|number| instance(number).target));
    assert_eq!(granted.len(), 2);
}

/// Load pattern: several engines are reclaimed at once, and one empty engine attracts all their
/// generations. Copies queue on its link as they do on the others'.
#[test]
fn an_engine_receives_one_at_a_time() {
    let now = Instant::now();
    let mut moves = off_two_engines(now);
    assert_eq!(granted(&mut moves, now), [1]);
    moves.remove(1);
    assert_eq!(granted(&mut moves, now), [2]);
}

/// The report of the end of a move can be lost with the host that sent it.
#[test]
fn a_move_whose_end_nobody_tells_holds_up_the_next_for_a_while_only() {
    let now = Instant::now();
    let mut moves = Moves::default();
    moves.request(departure(1, 900), now);
    moves.request(departure(2, 100), now);
    assert_eq!(granted(&mut moves, now), [1]);
    assert_eq!(granted(&mut moves, now + ms(1_000)), [0; 0]);
    assert_eq!(granted(&mut moves, now + ms(1_250)), [2]);
}

#[test]
fn one_that_failed_asks_anew_and_gives_its_room_back() {
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

/// Load pattern: an engine is reclaimed while new generations wait for room. What runs already has
/// cost memory and time, so it gets the room first, also while it waits for its turn to move.
#[tokio::test]
async fn room_for_one_that_moves_is_not_given_to_a_new_one() {
    let allocator = Arc::new(Allocator::new(Scope::Group));
    // The second engine has room for two more, if what runs there grows as expected.
    let mut full = board(1, &[20_000, 23_500]);
    full.instances[0].leaving = true;
    full.loads[1].load.running = 10;
    allocator.merge(&full);
    let wait = ms(30);
    let first = allocator.relocate(departure(1, 900), wait).await;
    assert!(matches!(first, Reply::Placed(..)), "{first:?}");
    let second = allocator.relocate(departure(2, 800), wait).await;
    assert_eq!(second, Reply::Waiting, "its turn is later");
    let until = Instant::now() + ms(60);
    let new = allocator.acquire(3, need(), until, wait).await;
    assert_eq!(new, Reply::Waiting);
    allocator.finish_move(1, true);
    let second = allocator.relocate(departure(2, 800), wait).await;
    assert!(matches!(second, Reply::Placed(..)), "{second:?}");
    // A move that fails gives its room back.
    allocator.finish_move(2, false);
    let new = allocator.acquire(3, need(), until, wait).await;
    assert!(matches!(new, Reply::Placed(..)), "{new:?}");
}

/// A host that waits for its turn can be lost.
#[test]
fn one_that_nobody_asks_for_is_forgotten() {
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
