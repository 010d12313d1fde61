//! The bytes of updates of observations on a large deployment.

use {
    super::{
        fixtures::load,
        updates::{PUBLISH_INTERVAL, follow, request, target},
    },
    sardinerelay_gateway::observations::{
        Instance, LoadReport, Observations,
        publisher::{Due, Publisher},
        update::Loads,
        view::View,
    },
    sardinerelayd::peer::Packed,
    std::{collections::HashSet, time::Instant},
};

/// Number of targets of the stream whose bytes are counted.
const TARGETS: usize = 3000;
/// Time between two lists of that stream, in publications.
const LIST_STRIDE: u64 = 2;
/// Targets that begin to leave, end and are added with each list: 150 a second.
const TURNOVER: usize = 36;
/// One of this many targets is an engine. Only engines report their load.
const ENGINE_STRIDE: usize = 4;
/// Load reports that are read between two publications: each engine's every 600 ms.
const REPORTS: usize = 150;
/// Bytes of a message around the encoded update: the JSON of the response and the frame's header.
const ENVELOPE_BYTES: usize = 60;

/// A follower whose bytes are counted.
struct Counted {
    view: View,
    loads: Loads,
    snapshot_bytes: usize,
    bytes: usize,
    updates: usize,
}

impl Counted {
    fn new(loads: Loads) -> Self {
        Self {
            view: View::default(),
            loads,
            snapshot_bytes: 0,
            bytes: 0,
            updates: 0,
        }
    }

    /// Takes the next update if it is due.
    fn take(&mut self, publisher: &Publisher, now: Instant) {
        let request = request(&self.view, self.loads);
        let is_due = match publisher.due(&request) {
            Due::Now => true,
            Due::At(at) => at <= now,
            Due::Later => false,
        };
        if !is_due {
            return;
        }
        let update = publisher.update_for(&request, now).expect("it is due");
        let is_full = update.base == 0;
        let encoded = serde_json::to_string(&Packed(&update)).expect("it can be encoded");
        let bytes = encoded.len() + ENVELOPE_BYTES;
        match is_full {
            true => self.snapshot_bytes += bytes,
            false => {
                self.bytes += bytes;
                self.updates += 1;
            }
        }
        self.view.apply(update, now, now).expect("there is no gap");
    }
}

/// Guards against updates that are too large for 300 hosts and 3,000 targets of which 150 are replaced in a
/// second: an entry host receives less than 60 kB/s, and a voter sends less than 1.5 MB/s.
#[test]
fn updates_of_3000_targets_stay_within_their_bytes() {
    const SECONDS: usize = 12;
    let mut now = Instant::now();
    let mut publisher = Publisher::new(u64::from(u32::MAX));
    let mut followers = [Loads::None, Loads::Zone, Loads::All].map(Counted::new);
    let mut world = Observations {
        instances: (0..TARGETS)
            .map(|number| target(number, 1_790_000_000_000))
            .collect(),
        entry_hosts: 300,
        ..Observations::default()
    };
    let mut next = TARGETS;
    for stamp in 0..SECONDS as u64 * 1000 / PUBLISH_INTERVAL.as_millis() as u64 {
        now += PUBLISH_INTERVAL;
        if stamp % LIST_STRIDE == 0 {
            world.instances.drain(..TURNOVER);
            let leaving = world.instances.iter_mut().take(TURNOVER * 7);
            leaving.for_each(|instance| instance.leaving = true);
            let added = next..next + TURNOVER;
            world.instances.extend(added.map(|number| Instance {
                cold_ms: 8000,
                ..target(number, 1_790_000_000_000 + 250 * stamp)
            }));
            next += TURNOVER;
        }
        for instance in &mut world.instances {
            let elapsed = PUBLISH_INTERVAL.as_millis() as u64;
            instance.cold_ms = instance.cold_ms.saturating_sub(elapsed);
        }
        let first = stamp as usize * REPORTS;
        let engines = world.instances.iter();
        let engines: Vec<_> = engines.step_by(ENGINE_STRIDE).collect();
        let read = (first..first + REPORTS).map(|at| engines[at % engines.len()]);
        world.loads = read
            .map(|instance| LoadReport {
                target: instance.target.clone(),
                incarnation: instance.incarnation,
                load: load(9_000 + stamp),
                age_ms: 20,
                closing_ms: None,
            })
            .collect();
        publisher.publish(&world, now);
        for follower in &mut followers {
            follower.take(&publisher, now);
        }
    }
    let rates = followers.map(|mut follower| {
        let (rate, updates) = (follower.bytes / SECONDS, follower.updates / SECONDS);
        println!(
            "{:?}: {rate} B/s in {updates} updates/s, a full snapshot of {} B",
            follower.loads, follower.snapshot_bytes
        );
        let shown = follow(&publisher, &mut follower.view, follower.loads, now);
        let listed = |observations: &Observations| -> HashSet<_> {
            let instances = observations.instances.iter();
            let key = |instance: &Instance| (instance.target.clone(), instance.leaving);
            instances.map(key).collect()
        };
        assert_eq!(listed(&shown), listed(&world), "the follower has the list");
        rate
    });
    let [entry, allocating, voter] = rates;
    assert!(entry < 30_000, "{entry} B/s to an entry host");
    assert!(allocating < 60_000, "{allocating} B/s while it allocates");
    // One voter for the 75 entry hosts of its zone, and the leader for 8 voters.
    let sent = 75 * entry + 8 * voter;
    assert!(sent < 1_500_000, "{sent} B/s from a voter");
}
