//! Targets that are taken out of use after consecutive failures.

use {
    crate::id::Target,
    rand::Rng,
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
};

/// Consecutive failures after which a target is ejected.
const FAILURES: u32 = 3;
/// First time out of use; it doubles with each further ejection.
const FIRST_EJECTION: Duration = Duration::from_secs(2);
/// Longest time out of use.
const MAX_EJECTION: Duration = Duration::from_secs(60);
/// Time after which a probe that was not answered is given up and another may be sent.
const PROBE_TIMEOUT: Duration = Duration::from_secs(5);

#[derive(Debug, Clone, Copy, Default)]
struct Health {
    failures: u32,
    ejections: u32,
    ejected_until: Option<Instant>,
    probing_since: Option<Instant>,
}

/// Ejects failing targets, but never more than a share of them at once: if most targets fail, the
/// fault is more likely elsewhere, and the rest couldn't carry the load.
#[derive(Debug)]
pub struct Ejector {
    max_percent: usize,
    targets: HashMap<Target, Health>,
}

impl Ejector {
    /// Ejects at most `max_percent` of the targets at once.
    pub fn new(max_percent: usize) -> Self {
        Self {
            max_percent,
            targets: HashMap::new(),
        }
    }

    /// Makes a target known. The cap counts known targets.
    pub fn add(&mut self, target: &Target) {
        self.targets.entry(target.clone()).or_default();
    }

    /// Forgets a target that is gone for good.
    pub fn remove(&mut self, target: &str) {
        self.targets.remove(target);
    }

    /// Records a failed attempt. Returns whether the target is out of use because of it. The time
    /// out of use is jittered, so that several hosts don't probe at the same moment.
    pub fn record_failure<R>(&mut self, target: &Target, rng: &mut R, now: Instant) -> bool
    where
        R: Rng + ?Sized,
    {
        self.add(target);
        let room = (self.ejected_count() + 1) * 100 <= self.max_percent * self.targets.len();
        let Some(health) = self.targets.get_mut(target) else {
            return false;
        };
        health.failures = health.failures.saturating_add(1);
        let probe_failed = health.probing_since.take().is_some();
        let eject = if health.ejected_until.is_some() {
            probe_failed
        } else {
            health.failures >= FAILURES && room
        };
        if !eject {
            return false;
        }
        let time = FIRST_EJECTION
            .saturating_mul(2_u32.saturating_pow(health.ejections))
            .min(MAX_EJECTION);
        health.ejections = health.ejections.saturating_add(1);
        health.ejected_until = Some(now + time.mul_f64(rng.random_range(0.75..1.25)));
        true
    }

    /// Records a successful attempt, which brings an ejected target back.
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

    /// Whether the target may be used. After its time out of use, an ejected target is allowed
    /// one request as a probe.
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

    /// Records that a request was sent to the target. For an ejected one it is the probe.
    pub fn record_sent(&mut self, target: &str, now: Instant) {
        if let Some(health) = self.targets.get_mut(target)
            && health.ejected_until.is_some()
        {
            health.probing_since = Some(now);
        }
    }

    /// Number of targets out of use.
    pub fn ejected_count(&self) -> usize {
        self.targets
            .values()
            .filter(|health| health.ejected_until.is_some())
            .count()
    }
}
