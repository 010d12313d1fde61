//! Outlier ejection: targets are taken out of use after consecutive failures.

use {
    crate::id::Target,
    rand::Rng,
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
};

/// Number of consecutive failures after which a target is ejected.
const EJECTION_FAILURES: u32 = 3;
/// Duration of the first ejection. It doubles with each further ejection.
const BASE_EJECTION_TIME: Duration = Duration::from_secs(2);
/// Longest duration of an ejection.
const MAX_EJECTION_TIME: Duration = Duration::from_secs(60);
/// Time after which an unanswered probe counts as lost and another one may be sent.
const PROBE_TIMEOUT: Duration = Duration::from_secs(5);

/// A target's record of failures and ejections.
#[derive(Debug, Clone, Copy, Default)]
struct Health {
    /// Consecutive failures.
    failures: u32,
    /// Ejections, less one for each success while the target was not ejected.
    ejections: u32,
    /// Earliest time of a probe. Unset unless the target is ejected; it stays ejected until an
    /// attempt succeeds.
    ejected_until: Option<Instant>,
    /// When the unanswered probe was sent.
    probing_since: Option<Instant>,
}

/// Ejects failing targets, but never more than a share of them at once. If most targets fail, the
/// fault is probably elsewhere, and the remaining targets couldn't take the load.
#[derive(Debug)]
pub struct Ejector {
    max_ejected_percent: usize,
    targets: HashMap<Target, Health>,
}

impl Ejector {
    /// Creates an ejector that ejects at most `max_ejected_percent` of the targets at once.
    pub fn new(max_ejected_percent: usize) -> Self {
        Self {
            max_ejected_percent,
            targets: HashMap::new(),
        }
    }

    /// Adds a target. It counts among the targets of which a share may be ejected.
    pub fn add(&mut self, target: &Target) {
        self.targets.entry(target.clone()).or_default();
    }

    /// Removes a target that will not return.
    pub fn remove(&mut self, target: &str) {
        self.targets.remove(target);
    }

    /// Records a failed attempt. Returns whether it ejects the target. The duration of the ejection
    /// has jitter, so that several hosts don't probe at the same time.
    pub fn record_failure<R>(&mut self, target: &Target, rng: &mut R, now: Instant) -> bool
    where
        R: Rng + ?Sized,
    {
        self.add(target);
        let below_cap =
            (self.ejected_count() + 1) * 100 <= self.max_ejected_percent * self.targets.len();
        let Some(health) = self.targets.get_mut(target) else {
            return false;
        };
        health.failures = health.failures.saturating_add(1);
        let probe_failed = health.probing_since.take().is_some();
        let ejects = if health.ejected_until.is_some() {
            probe_failed
        } else {
            health.failures >= EJECTION_FAILURES && below_cap
        };
        if !ejects {
            return false;
        }
        let ejection_time = BASE_EJECTION_TIME
            .saturating_mul(2_u32.saturating_pow(health.ejections))
            .min(MAX_EJECTION_TIME);
        health.ejections = health.ejections.saturating_add(1);
        health.ejected_until = Some(now + ejection_time.mul_f64(rng.random_range(0.75..1.25)));
        true
    }

    /// Records a successful attempt, which ends an ejection.
    pub fn record_success(&mut self, target: &str) {
        let Some(health) = self.targets.get_mut(target) else {
            return;
        };
        let ejections = if health.ejected_until.is_some() {
            health.ejections
        } else {
            health.ejections.saturating_sub(1)
        };
        *health = Health {
            ejections,
            ..Health::default()
        };
    }

    /// Whether the target may get a request. Once its ejection has run out, an ejected target gets
    /// one request at a time as a probe.
    pub fn is_allowed(&self, target: &str, now: Instant) -> bool {
        let Some(health) = self.targets.get(target) else {
            return true;
        };
        let Some(until) = health.ejected_until else {
            return true;
        };
        let probing = health
            .probing_since
            .is_some_and(|since| now < since + PROBE_TIMEOUT);
        now >= until && !probing
    }

    /// Records that a request was sent to the target. If the target is ejected, this is the probe.
    pub fn record_sent(&mut self, target: &str, now: Instant) {
        if let Some(health) = self.targets.get_mut(target)
            && health.ejected_until.is_some()
        {
            health.probing_since = Some(now);
        }
    }

    /// Returns the number of ejected targets.
    pub fn ejected_count(&self) -> usize {
        self.targets
            .values()
            .filter(|health| health.ejected_until.is_some())
            .count()
    }
}
