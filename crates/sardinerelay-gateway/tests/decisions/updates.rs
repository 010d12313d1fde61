//! Observations that are sent as updates.

use {
    super::fixtures::{SERVICE, ZONES, load, observations},
    compact_str::format_compact,
    proptest::{prelude::*, sample::Index},
    rstest::rstest,
    sardinerelay::id::{Incarnation, Target, Zone},
    sardinerelay_gateway::{
        follow::{choose_publishers, is_fresh},
        limit::{Rate, permit},
        observations::{
            Instance, LoadReport, Observations,
            publisher::{Due, Publisher, SnapshotReason},
            update::{Loads, Position, Request, Update},
            view::{Gap, View},
        },
        targets::Targets,
    },
    std::{
        collections::{BTreeMap, BTreeSet, HashSet},
        net::{Ipv4Addr, SocketAddr},
        time::{Duration, Instant},
    },
};

/// Time between two publications.
pub const PUBLISH_INTERVAL: Duration = Duration::from_millis(120);

pub fn request(view: &View, loads: Loads) -> Request {
    Request {
        position: view.position(),
        zone: ZONES[0].into(),
        loads,
        held_loads: view.held_loads(),
        ..Request::default()
    }
}

/// Applies the next update of a publisher to a view.
pub fn follow(publisher: &Publisher, view: &mut View, loads: Loads, now: Instant) -> Observations {
    let update = publisher.update_for(&request(view, loads), now);
    let applied = view.apply(update.expect("something was published"), now, now);
    applied.expect("the update can be applied")
}

fn sorted(mut instances: Vec<Instance>) -> Vec<Instance> {
    instances.sort_by(|one, other| one.target.cmp(&other.target));
    instances
}

/// A target of the simulated platform.
pub fn target(number: usize, incarnation: Incarnation) -> Instance {
    Instance {
        target: format_compact!("target-{number:04}"),
        incarnation,
        service: format_compact!("{SERVICE}-{}", number % 40),
        address: SocketAddr::from(([10, 1, (number >> 8) as u8, number as u8], 8000)),
        zone: ZONES[number % ZONES.len()].into(),
        slots: 24,
        leaving: false,
        cold_ms: 0,
        build: format_compact!("2026-{}", incarnation % 2),
    }
}

/// What may happen between two publishers and a follower.
#[derive(Debug, Clone)]
enum Step {
    Add(usize),
    Leave(Index),
    Remove(Index),
    Limit(Index),
    /// A publisher publishes the newest list, or the one before.
    Publish(bool, bool),
    Restart(bool),
    Ask(bool, u8),
    /// An answer arrives, and stays to arrive again if the flag is set.
    Deliver(Index, bool),
    Lose(Index),
}

fn step() -> impl Strategy<Value = Step> {
    let index = any::<Index>;
    prop_oneof![
        3 => (0..12_usize).prop_map(Step::Add),
        2 => index().prop_map(Step::Leave),
        2 => index().prop_map(Step::Remove),
        1 => index().prop_map(Step::Limit),
        6 => any::<(bool, bool)>().prop_map(|(one, old)| Step::Publish(one, old)),
        1 => any::<bool>().prop_map(Step::Restart),
        6 => any::<(bool, u8)>().prop_map(|(one, loads)| Step::Ask(one, loads)),
        6 => (index(), any::<bool>()).prop_map(|(at, again)| Step::Deliver(at, again)),
        1 => index().prop_map(Step::Lose),
    ]
}

/// The simulated platform, two publishers and a follower.
struct World {
    now: Instant,
    incarnation: Incarnation,
    listed: Observations,
    before: Observations,
    publishers: [Publisher; 2],
    sources: u64,
    sent: Vec<Update>,
    view: View,
    shown: Vec<Position>,
    left: HashSet<(Target, Incarnation)>,
}

impl World {
    fn new() -> Self {
        Self {
            now: Instant::now() + Duration::from_secs(3600),
            incarnation: 0,
            listed: Observations::default(),
            before: Observations::default(),
            publishers: [Publisher::new(1), Publisher::new(2)],
            sources: 2,
            sent: Vec::new(),
            view: View::default(),
            shown: Vec::new(),
            left: HashSet::new(),
        }
    }

    fn run(&mut self, step: Step) {
        self.now += Duration::from_millis(100);
        match step {
            Step::Add(number) => {
                self.incarnation += 1;
                let added = target(number, self.incarnation);
                self.drop_target(&added.target);
                self.listed.loads.push(LoadReport {
                    target: added.target.clone(),
                    incarnation: added.incarnation,
                    load: load(self.incarnation),
                    age_ms: 0,
                    closing_ms: None,
                });
                self.listed.instances.push(added);
            }
            Step::Leave(at) => {
                if !self.listed.instances.is_empty() {
                    let at = at.index(self.listed.instances.len());
                    self.listed.instances[at].leaving = true;
                }
            }
            Step::Remove(at) => {
                if self.listed.instances.len() > 1 {
                    let removed = at.get(&self.listed.instances).target.clone();
                    self.drop_target(&removed);
                }
            }
            Step::Limit(at) => {
                if !self.listed.instances.is_empty() {
                    let limited = at.get(&self.listed.instances);
                    let known = permit::Known {
                        target: limited.target.clone(),
                        incarnation: limited.incarnation,
                        rate: Rate::per_second(self.now.elapsed().as_secs_f64()),
                    };
                    let age = Duration::ZERO;
                    self.listed.limits = vec![permit::Published { known, age }];
                }
            }
            Step::Publish(one, is_old) => {
                let published = match is_old {
                    true => &self.before,
                    false => &self.listed,
                };
                let mut published = published.clone();
                published.list_age_ms = if is_old { 5000 } else { 0 };
                self.publishers[usize::from(one)].publish(&published, self.now);
                self.before = self.listed.clone();
            }
            Step::Restart(one) => {
                self.sources += 1;
                self.publishers[usize::from(one)] = Publisher::new(self.sources);
            }
            Step::Ask(one, loads) => {
                let loads = [Loads::None, Loads::Zone, Loads::All][usize::from(loads) % 3];
                let request = request(&self.view, loads);
                let update = self.publishers[usize::from(one)].update_for(&request, self.now);
                self.sent.extend(update);
            }
            Step::Deliver(at, stays) => {
                if !self.sent.is_empty() {
                    let at = at.index(self.sent.len());
                    let update = match stays {
                        true => self.sent[at].clone(),
                        false => self.sent.remove(at),
                    };
                    self.deliver(update);
                }
            }
            Step::Lose(at) => {
                if !self.sent.is_empty() {
                    self.sent.remove(at.index(self.sent.len()));
                }
            }
        }
    }

    fn drop_target(&mut self, target: &Target) {
        let Observations {
            instances, loads, ..
        } = &mut self.listed;
        instances.retain(|listed| listed.target != *target);
        loads.retain(|report| report.target != *target);
    }

    fn deliver(&mut self, update: Update) {
        let Ok(observations) = self.view.apply(update, self.now, self.now) else {
            return;
        };
        let position = self.view.position();
        let mut shown = self.shown.iter();
        assert!(
            shown.all(|shown| shown.source != position.source || shown.stamp <= position.stamp),
            "the view went back from one of {:?} to {position:?}",
            self.shown
        );
        self.shown.push(position);
        for instance in &observations.instances {
            let key = (instance.target.clone(), instance.incarnation);
            assert!(
                instance.leaving || !self.left.contains(&key),
                "{key:?} was shown as leaving before"
            );
            if instance.leaving {
                self.left.insert(key);
            }
        }
    }

    /// Lets the follower catch up with a publisher, and checks that it then has all of the list.
    fn finish(&mut self) {
        if self.listed.instances.is_empty() {
            return;
        }
        self.now += Duration::from_secs(10);
        let publisher = &mut self.publishers[0];
        publisher.publish(&self.listed, self.now);
        let update = |view: &View, publisher: &Publisher| {
            let update = publisher.update_for(&request(view, Loads::All), self.now);
            update.expect("something was published")
        };
        let mut applied = self
            .view
            .apply(update(&self.view, publisher), self.now, self.now);
        if applied.is_err() {
            let again = update(&self.view, publisher);
            applied = self.view.apply(again, self.now, self.now);
        }
        let observations = applied.expect("a full snapshot heals any gap");
        assert_eq!(
            sorted(observations.instances),
            sorted(self.listed.instances.clone())
        );
        let used = |observations: &Observations| -> u64 {
            observations
                .loads
                .iter()
                .map(|report| report.load.used)
                .sum()
        };
        assert_eq!(used(&self.listed), {
            let loads = observations.loads;
            loads.iter().map(|report| report.load.used).sum::<u64>()
        });
        assert_eq!(observations.limits.len(), self.listed.limits.len());
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    /// Guards against a view that lacks or keeps targets after messages were lost, repeated or
    /// reordered or a publisher was restarted or replaced, that goes back to an older state of one
    /// source, or that shows a target as staying that it showed as leaving.
    #[test]
    fn any_disturbance_ends_in_the_publishers_list(steps in prop::collection::vec(step(), 1..120)) {
        let mut world = World::new();
        for step in steps {
            world.run(step);
        }
        world.finish();
    }
}

/// Guards against a follower that keeps a list which differs from the publisher's after a faulty update.
#[test]
fn a_list_that_differs_is_replaced_by_a_full_snapshot() {
    let now = Instant::now();
    let (mut publisher, mut view) = (Publisher::new(1), View::default());
    publisher.publish(&observations(1, &[0, 0]), now);
    follow(&publisher, &mut view, Loads::None, now);
    publisher.publish(&observations(2, &[0, 0, 0]), now);
    let update = publisher.update_for(&request(&view, Loads::None), now);
    let mut update = update.expect("something was published");
    let changes = update.changes.as_mut().expect("a target was added");
    changes.entries.clear();
    assert_eq!(view.apply(update, now, now), Err(Gap::Digest));
    let reason = publisher.snapshot_reason(&request(&view, Loads::None));
    assert_eq!(reason, Some(SnapshotReason::Gap));
    let healed = follow(&publisher, &mut view, Loads::None, now);
    assert_eq!(healed.instances.len(), 3);
}

/// Guards against removals that are kept without bound, and against a follower that keeps removed targets
/// because their removals were forgotten.
#[test]
fn a_follower_that_was_away_for_too_many_removals_gets_a_full_snapshot() {
    let now = Instant::now();
    let (mut publisher, mut view) = (Publisher::new(1), View::default());
    publisher.publish(&observations(1, &[0; 5000]), now);
    follow(&publisher, &mut view, Loads::None, now);
    publisher.publish(&observations(2, &[0; 10]), now);
    let reason = publisher.snapshot_reason(&request(&view, Loads::None));
    assert_eq!(reason, Some(SnapshotReason::Bound));
    let observations = follow(&publisher, &mut view, Loads::None, now);
    assert_eq!(observations.instances.len(), 10);
}

/// Guards against leaves that wait for an interval, and against updates to hosts that need none. A
/// target that closes its connections must reach a host that asks for no load reports.
#[rstest]
#[case::nothing(|_: &mut Observations| {}, Loads::All, Due::Later)]
#[case::load(|next: &mut Observations| next.loads[0].load.used = 7, Loads::None, Due::Later)]
#[case::wanted_load(
    |next: &mut Observations| {
        next.loads[0].load.used = 7;
        next.list_age_ms = 0;
    },
    Loads::All,
    Due::Later
)]
#[case::closing(|next: &mut Observations| next.loads[0].closing_ms = Some(0), Loads::None, Due::Now)]
#[case::load_says_leaving(|next: &mut Observations| next.loads[0].load.leaving = true, Loads::None, Due::Now)]
#[case::leaving(|next: &mut Observations| next.instances[0].leaving = true, Loads::None, Due::Now)]
#[case::ended(|next: &mut Observations| drop(next.instances.pop()), Loads::None, Due::Now)]
#[case::suspect(|next: &mut Observations| next.suspect_requests.push(1), Loads::None, Due::Now)]
#[case::readers(|next: &mut Observations| next.readers.push([10, 0, 0, 1].into()), Loads::None, Due::Now)]
fn urgent_changes_wake_followers_at_once<Change>(
    #[case] change: Change,
    #[case] loads: Loads,
    #[case] due: Due,
) where
    Change: FnOnce(&mut Observations),
{
    let now = Instant::now();
    let (mut publisher, mut view) = (Publisher::new(1), View::default());
    let mut next = observations(1, &[0, 0]);
    publisher.publish(&next, now);
    follow(&publisher, &mut view, loads, now);
    change(&mut next);
    let later = now + PUBLISH_INTERVAL;
    let is_load_wanted = loads == Loads::All && next.loads[0].load.used != 0;
    if loads == Loads::None || is_load_wanted {
        publisher.publish(&next, later);
    }
    let found = publisher.due(&request(&view, loads));
    match is_load_wanted {
        true => assert!(matches!(found, Due::At(at) if at > later)),
        false => assert_eq!(found, due),
    }
}

/// Guards against an update for each added target: while nothing else changes they are sent 4 times a
/// second.
#[test]
fn additions_alone_are_sent_at_intervals() {
    let now = Instant::now();
    let (mut publisher, mut view) = (Publisher::new(1), View::default());
    publisher.publish(&observations(1, &[0]), now);
    follow(&publisher, &mut view, Loads::None, now);
    publisher.publish(&observations(2, &[0, 0]), now + PUBLISH_INTERVAL);
    let due = publisher.due(&request(&view, Loads::None));
    assert_eq!(due, Due::At(now + Duration::from_millis(250)));
}

/// Guards against a host that sends to an engine which closes its connections, because it asks for no
/// load reports, and against one that never uses the engine again.
#[test]
fn a_host_without_load_reports_sees_engines_close_their_connections() {
    let now = Instant::now();
    let (mut publisher, mut view, mut targets) =
        (Publisher::new(1), View::default(), Targets::default());
    let mut next = observations(1, &[0, 0]);
    for (closing_ms, expected) in [(None, 2), (Some(0), 1), (None, 2)] {
        let now = now + PUBLISH_INTERVAL * next.stamp as u32;
        next.stamp += 1;
        next.loads[0].closing_ms = closing_ms;
        publisher.publish(&next, now);
        targets.merge(&follow(&publisher, &mut view, Loads::None, now), now);
        assert_eq!(targets.usable(SERVICE, now).count(), expected);
    }
}

/// Guards against a host that waits for an engine which stands still, because it asks for no load reports
/// and so can't see that they have stopped. A voter that passes it on must not judge by its own reports.
#[test]
fn a_host_without_load_reports_sees_that_an_engine_is_silent() {
    let now = Instant::now() + Duration::from_secs(60);
    let (mut leader, mut voter) = (Publisher::new(1), Publisher::new(2));
    let (mut between, mut last) = (View::default(), View::default());
    let mut targets = Targets::default();
    let mut next = observations(1, &[0, 0]);
    for (age_ms, expected) in [(100, false), (1500, true), (100, false)] {
        let now = now + Duration::from_secs(2) * next.stamp as u32;
        next.stamp += 1;
        next.loads[1].age_ms = age_ms;
        leader.publish(&next, now);
        voter.publish(&follow(&leader, &mut between, Loads::All, now), now);
        targets.merge(&follow(&voter, &mut last, Loads::None, now), now);
        assert_eq!(targets.is_silent(&next.loads[1].target, now), expected);
        assert!(!targets.is_silent(&next.loads[0].target, now));
    }
}

/// Guards against a list that seems fresh because a voter passed it on: its age adds up over hops.
#[test]
fn the_age_of_a_list_adds_up_over_hops() {
    let now = Instant::now() + Duration::from_secs(60);
    let later = |ms| now + Duration::from_millis(ms);
    let (mut leader, mut voter) = (Publisher::new(1), Publisher::new(2));
    let (mut between, mut last) = (View::default(), View::default());
    leader.publish(&observations(1, &[0]), now);
    let update = leader.update_for(&request(&between, Loads::All), later(100));
    let update = update.expect("something was published");
    // The voter asked 40 ms before the answer arrived, so that may be as old as the request.
    let received = between.apply(update, later(60), later(100));
    voter.publish(&received.expect("a full snapshot"), later(200));
    let shown = follow(&voter, &mut last, Loads::None, later(300));
    assert_eq!(shown.list_age_ms, 300);
    assert_eq!(shown.asked, Some(later(260)));
}

/// Guards against a host that takes a long list for stale between two reads, and so follows all publishers at
/// once, and against one that follows a publisher whose list stands still.
#[rstest]
#[case::new(300, 48, true)]
#[case::read_twice_as_slowly(1_400, 48, true)]
#[case::stands_still(1_600, 48, false)]
#[case::between_reads_of_61_pages(2_700, 3_001, true)]
#[case::long_list_stands_still(4_500, 3_001, false)]
fn a_list_is_fresh_until_the_next_can_have_arrived(
    #[case] age_ms: u64,
    #[case] targets: usize,
    #[case] expected: bool,
) {
    assert_eq!(is_fresh(Duration::from_millis(age_ms), targets), expected);
}

/// Guards against updates that cross zones for each entry host, against entry hosts that all follow the same
/// voter, and against hosts that follow voters of an earlier version, which publish nothing unless they lead.
#[rstest]
#[case::own_zone([Some("a"), Some("a"), Some("b"), Some("b")], 0, 2)]
#[case::no_voter_there([Some("b"), Some("b"), Some("b"), Some("c")], 0, 4)]
#[case::earlier_version([None, None, None, None], 2, 1)]
#[case::mixed([None, None, Some("b"), None], 0, 1)]
fn entry_hosts_spread_over_the_voters_of_their_zone(
    #[case] zones: [Option<&str>; 4],
    #[case] leader: usize,
    #[case] followed: usize,
) {
    let address = |number: usize| Ipv4Addr::new(10, 0, 0, number as u8);
    let addresses: BTreeSet<_> = (0..4).map(address).collect();
    let told = zones.iter().enumerate();
    let told = told.filter_map(|(number, zone)| Some((address(number), (*zone)?.into())));
    let told: BTreeMap<Ipv4Addr, Zone> = told.collect();
    let mut best = BTreeSet::new();
    for host in 0..50 {
        let host = format!("entry-{host}");
        let leader = address(leader);
        let chosen = choose_publishers((&host, "a"), &addresses, &told, Some(leader));
        assert_eq!(chosen.len(), 3);
        assert!(chosen.contains(&leader), "the leader always publishes");
        best.insert(chosen[0]);
    }
    assert_eq!(best.len(), followed, "{best:?}");
    let is_best_near = |address| told.get(address).is_some_and(|zone: &Zone| zone == "a");
    assert_eq!(
        best.iter().all(is_best_near),
        zones.contains(&Some("a")),
        "{best:?}"
    );
}
