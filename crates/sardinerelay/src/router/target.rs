//! One target as this host sees it: the last report, corrected by what the host knows itself.

use {
    super::{
        LoadReport, ReportDelta,
        affinity::Map,
        growth::{Curve, HORIZON_COUNT, HORIZON_TOKENS, Profile, Sum},
        pace::Pace,
    },
    crate::id::{Generation, Model, Target, Zone},
    std::{
        collections::{BTreeMap, VecDeque},
        time::{Duration, Instant},
    },
};

/// A report older than this no longer shows how much room there is.
const STALE_REPORT: Duration = Duration::from_secs(3);
/// Share of the memory that is used while reports are stale.
const STALE_SHARE: f64 = 0.5;
/// Seconds between tokens before any were measured.
const ASSUMED_GAP: f64 = 0.03;

/// Up to this horizon in tokens the memory is kept free with a margin of at least
/// [`NEAR_MARGIN`]. Few streams end that soon, so an overflow there is nearly certain and the
/// margin costs little.
const NEAR: u64 = 64;
/// Least margin in standard deviations for near horizons.
const NEAR_MARGIN: f64 = 0.75;
/// Share of a stream's own peak below which its need doesn't count: a request that has ended by
/// then must not be held up by a shortage at a late horizon.
const NEGLIGIBLE: f64 = 0.05;

/// What a target is.
#[derive(Debug, Clone)]
pub struct Description {
    /// Its name.
    pub name: Target,
    /// Its availability zone.
    pub zone: Zone,
    /// Key-value memory in tokens; 0 if it has no such limit.
    pub memory_tokens: u64,
    /// Models it runs.
    pub models: Vec<Model>,
}

#[derive(Debug)]
pub(super) struct Stream {
    pub(super) prompt: u64,
    pub(super) generated: u64,
    pub(super) dispatched: Instant,
    pub(super) started: bool,
    pub(super) preempted: bool,
    curve: Curve,
}

impl Stream {
    /// Memory held at a past time, from the present length and the pace.
    fn held_at(&self, at: Instant, now: Instant, gap: f64) -> f64 {
        if !self.started || self.preempted {
            return 0.0;
        }
        let since = now.saturating_duration_since(at).as_secs_f64() / gap;
        self.prompt as f64 + (self.generated as f64 - since).max(0.0)
    }
}

#[derive(Debug)]
pub(super) struct State {
    pub(super) about: Description,
    pub(super) streams: BTreeMap<Generation, Stream>,
    pub(super) pace: Pace,
    pub(super) cache: Map,
    pub(super) report: Option<LoadReport>,
    taken: Instant,
    /// Memory and number of other hosts' streams at the time of the report.
    others_held: f64,
    others_running: f64,
    own: Sum,
    /// Own dispatches that the report doesn't include yet.
    claimed: Sum,
    /// Own streams that ended after the report.
    released: Sum,
    ended: VecDeque<(Instant, f64, Curve)>,
    /// Fixed between two reports, so that repeated attempts don't draw again.
    draw: f64,
}

impl State {
    pub(super) fn new(about: Description, now: Instant) -> Self {
        Self {
            about,
            streams: BTreeMap::new(),
            pace: Pace::default(),
            cache: Map::default(),
            report: None,
            taken: now,
            others_held: 0.0,
            others_running: 0.0,
            own: Sum::default(),
            claimed: Sum::default(),
            released: Sum::default(),
            ended: VecDeque::new(),
            draw: 0.5,
        }
    }

    pub(super) fn dispatched(
        &mut self,
        generation: Generation,
        prompt: u64,
        curve: Curve,
        now: Instant,
    ) {
        self.own.add(&curve);
        self.claimed.add(&curve);
        let stream = Stream {
            prompt,
            generated: 0,
            dispatched: now,
            started: false,
            preempted: false,
            curve,
        };
        self.streams.insert(generation, stream);
    }

    pub(super) fn progressed(&mut self, generation: Generation, generated: u64, curve: Curve) {
        let Some(stream) = self.streams.get_mut(&generation) else {
            return;
        };
        self.own.remove(&stream.curve);
        self.own.add(&curve);
        stream.curve = curve;
        stream.generated = generated;
        stream.preempted = false;
    }

    pub(super) fn finished(&mut self, generation: Generation, now: Instant) {
        let Some(stream) = self.streams.remove(&generation) else {
            return;
        };
        self.own.remove(&stream.curve);
        if self.streams.is_empty() {
            self.own = Sum::default();
        }
        if stream.dispatched > self.taken {
            self.claimed.remove(&stream.curve);
            return;
        }
        self.released.add(&stream.curve);
        let held = (stream.prompt + stream.generated) as f64;
        self.ended.push_back((now, held, stream.curve));
    }

    /// Takes over a report and separates other hosts' streams from the own ones in it.
    pub(super) fn reported(&mut self, report: LoadReport, draw: f64, now: Instant) -> ReportDelta {
        let taken = now.checked_sub(report.age).unwrap_or(now);
        if self.report.is_some() && taken < self.taken {
            return ReportDelta::default();
        }
        let delta = self
            .report
            .map_or_else(ReportDelta::default, |last| ReportDelta {
                preemptions: report.preemptions.saturating_sub(last.preemptions),
                running_time: (taken - self.taken) * report.running as u32,
            });
        self.taken = taken;
        self.draw = draw;
        self.claimed = Sum::default();
        self.released = Sum::default();
        while self.ended.front().is_some_and(|(at, ..)| *at <= taken) {
            self.ended.pop_front();
        }
        let mut held = 0.0;
        let mut running = 0.0;
        for (_, ended, curve) in &self.ended {
            held += ended;
            running += 1.0;
            self.released.add(curve);
        }
        let gap = self.gap();
        for stream in self.streams.values() {
            if stream.dispatched > taken {
                self.claimed.add(&stream.curve);
            } else {
                held += stream.held_at(taken, now, gap);
                running += 1.0;
            }
        }
        let all = (report.running + report.waiting) as f64;
        // Sequences that wait in the engine will need about as much as a running one.
        let average = report.used_tokens as f64 / (report.running as f64).max(1.0);
        self.others_running = (all - running).max(0.0);
        self.others_held = (report.used_tokens as f64 - held).max(0.0);
        if self.others_running > 0.0 {
            self.others_held += average * (report.waiting as f64).min(self.others_running);
        }
        self.report = Some(report);
        delta
    }

    pub(super) fn own(&self) -> &Sum {
        &self.own
    }

    /// Requests in flight, own and others'.
    pub(super) fn in_flight(&self) -> f64 {
        self.streams.len() as f64 + self.others_running
    }

    /// The forecast, and what a host's fair share of the free memory allows.
    pub(super) fn room(&self, profile: &Profile, now: Instant, view: &View) -> Room {
        let mut expected = self.own;
        expected.merge(&profile.extrapolate(self.others_held, self.others_running));
        let mut limit = self.about.memory_tokens as f64;
        if limit <= 0.0 {
            limit = f64::INFINITY;
        }
        if now.saturating_duration_since(self.taken) > STALE_REPORT {
            limit *= STALE_SHARE;
        }
        let mut room = Room {
            free: [0.0; HORIZON_COUNT],
            allowance: [0.0; HORIZON_COUNT],
            draw: self.draw,
            load: 0.0,
        };
        // Other hosts see the same report and are assumed to dispatch as much as this one.
        let unseen = 1.0 / view.share - 1.0;
        for (h, ahead) in HORIZON_TOKENS.into_iter().enumerate() {
            let margin = if ahead <= NEAR {
                view.margin.max(NEAR_MARGIN)
            } else {
                view.margin
            };
            let used = expected.mean[h] + margin * expected.variance[h].max(0.0).sqrt();
            let claimed = self.claimed.mean[h].max(0.0);
            let released = self.released.mean[h].max(0.0);
            let free = limit * (1.0 - view.headroom) - used;
            let common = (free + claimed - released).max(0.0);
            room.free[h] = free;
            room.allowance[h] = view.share * common + released - claimed;
            room.load = f64::max(room.load, (used + unseen * claimed) / limit);
        }
        room
    }

    fn gap(&self) -> f64 {
        self.pace.gap_seconds().unwrap_or(ASSUMED_GAP).max(0.001)
    }
}

/// What the caller of [`State::room`] assumes.
#[derive(Debug, Clone, Copy)]
pub(super) struct View {
    /// The host's share of free memory.
    pub(super) share: f64,
    /// Standard deviations kept free.
    pub(super) margin: f64,
    /// Share of the memory that this request may not use.
    pub(super) headroom: f64,
}

/// Free memory of one target at each horizon.
#[derive(Debug, Clone, Copy)]
pub(super) struct Room {
    free: [f64; HORIZON_COUNT],
    allowance: [f64; HORIZON_COUNT],
    draw: f64,
    /// Expected use as a share of the memory, with other hosts' unseen dispatches.
    pub(super) load: f64,
}

impl Room {
    /// Whether a new stream fits, and this host may take the room. A request larger than the
    /// host's allowance is let through with probability allowance / need, so that all hosts
    /// together fill the room once and don't all rush into it.
    pub(super) fn fits(&self, curve: &Curve) -> bool {
        let mut need = Sum::default();
        need.add(curve);
        let peak = need.mean.iter().copied().fold(0.0, f64::max);
        (0..HORIZON_COUNT)
            .filter(|h| need.mean[*h] > NEGLIGIBLE * peak)
            .all(|h| need.mean[h] <= self.free[h] && self.draw * need.mean[h] <= self.allowance[h])
    }
}
