//! Which targets have stopped reporting their load.

use {
    super::{Change, MAX_REPORT_AGE, State, Targets, instant_before},
    crate::{
        observations::{Liveness, Observations},
        observer::{readers, schedule},
    },
    std::time::{Duration, Instant},
};

/// Age of a target's load report from which it counts as silent if other targets' reports are
/// fresh. It is longer than the longest interval between reads, one repeated read and a publication.
const SILENT_REPORT_AGE: Duration = Duration::from_millis(1300);
/// Age below which another target's load report shows that reports arrive at all. When no reports
/// arrive any more, the newest is up to an interval between reads younger than the oldest, so this
/// is shorter than [`SILENT_REPORT_AGE`] by at least that.
const FRESH_REPORT_AGE: Duration = Duration::from_millis(300);

/// Ages of load reports by which silent engines are recognised.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ReportAges {
    /// Age from which an engine counts as silent if the reports of others are fresh.
    pub(crate) silent: Duration,
    /// Age below which a report shows that reports arrive at all.
    pub(crate) fresh: Duration,
}

impl ReportAges {
    /// Returns the ages if one host reads the reports of this many engines.
    pub(crate) fn new(engines_per_reader: usize) -> Self {
        let stretch = schedule::stretch(engines_per_reader);
        Self {
            silent: SILENT_REPORT_AGE.mul_f64(stretch),
            fresh: FRESH_REPORT_AGE.mul_f64(stretch),
        }
    }
}

impl Targets {
    /// Merges what another host's load reports show.
    pub(super) fn merge_liveness(
        &mut self,
        liveness: &[Liveness],
        now: Instant,
        changes: &mut Vec<Change>,
    ) {
        for state in self.states.values_mut() {
            state.reported_silent = None;
        }
        for shown in liveness {
            let Some(state) = self.states.get_mut(&shown.target) else {
                continue;
            };
            if state.instance.incarnation != shown.incarnation {
                continue;
            }
            let since = shown.closing_ms.map(|age| instant_before(now, age));
            if since.is_some() && state.closing_since.is_none() {
                changes.push(Change::Closing(shown.target.clone()));
            }
            state.closing_since = since;
            state.reported_silent = shown.is_silent.then_some(now);
        }
    }

    /// Counts the engines whose reports one of the readers reads.
    pub(super) fn count_engines(&mut self, observations: &Observations) {
        let targets = self.states.values();
        let targets = targets.map(|state| (&state.instance.service, state.load.is_some()));
        let engines = readers::count_engines(targets);
        let readers = observations.readers.len().max(1);
        self.engines_per_reader = readers::engines_per_reader(engines, readers);
    }

    /// Whether a target has stopped reporting its load while others still report. Without any fresh
    /// report, no target counts as silent, since then it is the reports that don't arrive. An
    /// unknown target counts as silent.
    pub fn is_silent(&self, target: &str, now: Instant) -> bool {
        let Some(state) = self.states.get(target) else {
            return true;
        };
        self.is_state_silent(state, now)
    }

    pub(super) fn is_state_silent(&self, state: &State, now: Instant) -> bool {
        let age = |read: Instant| now.saturating_duration_since(read);
        if state
            .reported_silent
            .is_some_and(|reported| age(reported) < MAX_REPORT_AGE)
        {
            return true;
        }
        let ages = ReportAges::new(self.engines_per_reader);
        let is_old = state.load.is_some_and(|(_, read)| age(read) > ages.silent);
        let newest = self.index.newest_load;
        is_old && newest.is_some_and(|read| age(read) < ages.fresh)
    }
}
