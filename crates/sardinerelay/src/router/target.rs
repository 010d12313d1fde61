//! State of one target: the last load report, corrected by this host's own streams.

use {
    super::{
        LoadReport, ReportDelta,
        affinity::PrefixIndex,
        growth::{Curve, CurveSum, HORIZON_COUNT, HORIZON_TOKENS, Profile},
        latency::Latency,
    },
    crate::id::{Generation, Model, Target, Zone},
    std::{
        collections::{BTreeMap, VecDeque},
        time::{Duration, Instant},
    },
};

/// Age beyond which a load report counts as stale.
const MAX_REPORT_AGE: Duration = Duration::from_secs(3);
/// Share of a target's memory that may be used while its load report is stale.
const STALE_MEMORY_SHARE: f64 = 0.5;
/// Seconds between tokens that are assumed until enough were measured.
const ASSUMED_INTER_TOKEN_SECONDS: f64 = 0.03;

/// Up to this horizon, in tokens, a margin of at least [`MIN_NEAR_MARGIN`] is kept free. Few
/// streams end that soon, so a forecast of too little memory is nearly certain to come true and
/// the margin costs little.
const NEAR_HORIZON_TOKENS: u64 = 64;
/// Minimum margin for near horizons, in standard deviations of the forecast.
const MIN_NEAR_MARGIN: f64 = 0.75;
/// Share of a stream's peak memory below which its need at a horizon is ignored. A request that
/// has probably ended by then must not be held up by a shortage at that horizon.
const NEGLIGIBLE_NEED_SHARE: f64 = 0.05;

/// What the router has to know about a target.
#[derive(Debug, Clone)]
pub struct Description {
    /// The target's name.
    pub name: Target,
    /// The target's availability zone.
    pub zone: Zone,
    /// Key-value memory in tokens; 0 if it has no such limit.
    pub memory_tokens: u64,
    /// The models that the target runs.
    pub models: Vec<Model>,
}

/// A stream of this host that the target serves.
#[derive(Debug)]
pub(super) struct Stream {
    pub(super) prompt_tokens: u64,
    pub(super) generated: u64,
    pub(super) dispatched_at: Instant,
    pub(super) started: bool,
    pub(super) preempted: bool,
    curve: Curve,
}

impl Stream {
    /// Estimates the tokens of memory held at the past time `at`, from the current length and the
    /// seconds between tokens.
    fn held_at(&self, at: Instant, now: Instant, inter_token: f64) -> f64 {
        if !self.started || self.preempted {
            return 0.0;
        }
        let tokens_since = now.saturating_duration_since(at).as_secs_f64() / inter_token;
        self.prompt_tokens as f64 + (self.generated as f64 - tokens_since).max(0.0)
    }
}

/// What this host knows about one target.
#[derive(Debug)]
pub(super) struct State {
    pub(super) description: Description,
    pub(super) streams: BTreeMap<Generation, Stream>,
    pub(super) latency: Latency,
    pub(super) cache: PrefixIndex,
    pub(super) report: Option<LoadReport>,
    report_taken_at: Instant,
    /// Memory of other hosts' streams at the time of the last report, in tokens.
    others_held_tokens: f64,
    /// Number of other hosts' streams at that time, including those that wait in the engine.
    others_running: f64,
    /// Forecast of this host's streams.
    own_forecast: CurveSum,
    /// This host's streams that were dispatched after the last report.
    unreported_starts: CurveSum,
    /// This host's streams that ended after the last report.
    unreported_ends: CurveSum,
    /// The streams in `unreported_ends`: the time of their end, the tokens that they held then, and
    /// their curve.
    recently_ended: VecDeque<(Instant, f64, Curve)>,
    /// Random number from 0 to 1 that decides on large requests (see [`FreeMemory::fits`]). It
    /// stays the same between two reports, so that repeated attempts don't draw again.
    admission_draw: f64,
}

impl State {
    pub(super) fn new(description: Description, now: Instant) -> Self {
        Self {
            description,
            streams: BTreeMap::new(),
            latency: Latency::default(),
            cache: PrefixIndex::default(),
            report: None,
            report_taken_at: now,
            others_held_tokens: 0.0,
            others_running: 0.0,
            own_forecast: CurveSum::default(),
            unreported_starts: CurveSum::default(),
            unreported_ends: CurveSum::default(),
            recently_ended: VecDeque::new(),
            admission_draw: 0.5,
        }
    }

    pub(super) fn record_dispatch(
        &mut self,
        generation: Generation,
        prompt_tokens: u64,
        curve: Curve,
        now: Instant,
    ) {
        self.own_forecast.add(&curve);
        self.unreported_starts.add(&curve);
        let stream = Stream {
            prompt_tokens,
            generated: 0,
            dispatched_at: now,
            started: false,
            preempted: false,
            curve,
        };
        self.streams.insert(generation, stream);
    }

    pub(super) fn record_progress(&mut self, generation: Generation, generated: u64, curve: Curve) {
        let Some(stream) = self.streams.get_mut(&generation) else {
            return;
        };
        self.own_forecast.remove(&stream.curve);
        self.own_forecast.add(&curve);
        stream.curve = curve;
        stream.generated = generated;
        stream.preempted = false;
    }

    pub(super) fn record_finish(&mut self, generation: Generation, now: Instant) {
        let Some(stream) = self.streams.remove(&generation) else {
            return;
        };
        self.own_forecast.remove(&stream.curve);
        if self.streams.is_empty() {
            self.own_forecast = CurveSum::default();
        }
        if stream.dispatched_at > self.report_taken_at {
            self.unreported_starts.remove(&stream.curve);
            return;
        }
        self.unreported_ends.add(&stream.curve);
        let held = (stream.prompt_tokens + stream.generated) as f64;
        self.recently_ended.push_back((now, held, stream.curve));
    }

    /// Applies a load report and separates the load of other hosts' streams from this host's.
    pub(super) fn apply_report(
        &mut self,
        report: LoadReport,
        admission_draw: f64,
        now: Instant,
    ) -> ReportDelta {
        let taken = now.checked_sub(report.age).unwrap_or(now);
        if self.report.is_some() && taken < self.report_taken_at {
            return ReportDelta::default();
        }
        let delta = self
            .report
            .map_or_else(ReportDelta::default, |last| ReportDelta {
                preemptions: report.preemptions.saturating_sub(last.preemptions),
                running_time: (taken - self.report_taken_at) * report.running as u32,
            });
        self.report_taken_at = taken;
        self.admission_draw = admission_draw;
        self.unreported_starts = CurveSum::default();
        self.unreported_ends = CurveSum::default();
        while self
            .recently_ended
            .front()
            .is_some_and(|(at, ..)| *at <= taken)
        {
            self.recently_ended.pop_front();
        }
        let mut held = 0.0;
        let mut running = 0.0;
        for (_, ended, curve) in &self.recently_ended {
            held += ended;
            running += 1.0;
            self.unreported_ends.add(curve);
        }
        let inter_token = self.inter_token_seconds();
        for stream in self.streams.values() {
            if stream.dispatched_at > taken {
                self.unreported_starts.add(&stream.curve);
            } else {
                held += stream.held_at(taken, now, inter_token);
                running += 1.0;
            }
        }
        let all = (report.running + report.waiting) as f64;
        // A sequence that waits in the engine will need about as much memory as a running one.
        let average = report.used_tokens as f64 / (report.running as f64).max(1.0);
        self.others_running = (all - running).max(0.0);
        self.others_held_tokens = (report.used_tokens as f64 - held).max(0.0);
        if self.others_running > 0.0 {
            self.others_held_tokens += average * (report.waiting as f64).min(self.others_running);
        }
        self.report = Some(report);
        delta
    }

    /// Returns the forecast of this host's streams.
    pub(super) fn own_forecast(&self) -> &CurveSum {
        &self.own_forecast
    }

    /// Returns the number of requests in flight, of this host and of others.
    pub(super) fn in_flight(&self) -> f64 {
        self.streams.len() as f64 + self.others_running
    }

    /// Returns the free memory at each horizon, and the part of it that this host may take.
    pub(super) fn free_memory(
        &self,
        profile: &Profile,
        now: Instant,
        constraints: &Constraints,
    ) -> FreeMemory {
        let mut expected = self.own_forecast;
        expected.merge(&profile.extrapolate(self.others_held_tokens, self.others_running));
        let mut limit = self.description.memory_tokens as f64;
        if limit <= 0.0 {
            limit = f64::INFINITY;
        }
        if now.saturating_duration_since(self.report_taken_at) > MAX_REPORT_AGE {
            limit *= STALE_MEMORY_SHARE;
        }
        let mut free_memory = FreeMemory {
            free: [0.0; HORIZON_COUNT],
            allowance: [0.0; HORIZON_COUNT],
            admission_draw: self.admission_draw,
            load: 0.0,
        };
        // Other hosts act on the same report and are assumed to dispatch as much as this one.
        let unseen = 1.0 / constraints.share - 1.0;
        for (h, ahead) in HORIZON_TOKENS.into_iter().enumerate() {
            let margin = if ahead <= NEAR_HORIZON_TOKENS {
                constraints.margin.max(MIN_NEAR_MARGIN)
            } else {
                constraints.margin
            };
            let used = expected.mean[h] + margin * expected.variance[h].max(0.0).sqrt();
            let unreported_starts = self.unreported_starts.mean[h].max(0.0);
            let unreported_ends = self.unreported_ends.mean[h].max(0.0);
            let free = limit * (1.0 - constraints.headroom) - used;
            let common = (free + unreported_starts - unreported_ends).max(0.0);
            free_memory.free[h] = free;
            free_memory.allowance[h] =
                constraints.share * common + unreported_ends - unreported_starts;
            free_memory.load = f64::max(
                free_memory.load,
                (used + unseen * unreported_starts) / limit,
            );
        }
        free_memory
    }

    fn inter_token_seconds(&self) -> f64 {
        self.latency
            .inter_token_seconds()
            .unwrap_or(ASSUMED_INTER_TOKEN_SECONDS)
            .max(0.001)
    }
}

/// Restrictions under which [`State::free_memory`] is computed.
#[derive(Debug, Clone, Copy)]
pub(super) struct Constraints {
    /// This host's share of the free memory.
    pub(super) share: f64,
    /// Standard deviations of the forecast that are kept free.
    pub(super) margin: f64,
    /// Share of the target's memory that the request may not use.
    pub(super) headroom: f64,
}

/// Free memory of one target at each horizon.
#[derive(Debug, Clone, Copy)]
pub(super) struct FreeMemory {
    free: [f64; HORIZON_COUNT],
    /// The part of the free memory that this host may take.
    allowance: [f64; HORIZON_COUNT],
    admission_draw: f64,
    /// Expected use as a share of the memory, with other hosts' unreported dispatches, at the
    /// horizon where it is highest.
    pub(super) load: f64,
}

impl FreeMemory {
    /// Whether a new stream fits and this host may take the memory for it. A request larger than
    /// the host's allowance is admitted with probability allowance / need, so that all hosts
    /// together fill the free memory once, and not each of them.
    pub(super) fn fits(&self, curve: &Curve) -> bool {
        let mut need = CurveSum::default();
        need.add(curve);
        let peak = need.mean.iter().copied().fold(0.0, f64::max);
        (0..HORIZON_COUNT)
            .filter(|h| need.mean[*h] > NEGLIGIBLE_NEED_SHARE * peak)
            .all(|h| {
                need.mean[h] <= self.free[h]
                    && self.admission_draw * need.mean[h] <= self.allowance[h]
            })
    }
}
