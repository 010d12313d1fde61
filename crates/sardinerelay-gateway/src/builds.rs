//! Which builds of a service's targets have served lately, as far as lists show it.
//!
//! A stream may go on only at the build that began it. If all targets of the last minutes had one
//! build, that was the one. See `docs/design/builds.md`.

use {
    crate::observations::Instance,
    sardinerelay::id::{Build, Service},
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
};

/// Time between two lists from which targets may have come and gone unseen.
const MAX_LIST_GAP: Duration = Duration::from_secs(3);
/// Time for which it is remembered that a build was listed.
const RETENTION: Duration = Duration::from_secs(600);

/// When targets of each build were last listed.
#[derive(Debug, Default)]
pub struct History {
    last_listed: HashMap<(Service, Build), Instant>,
    /// Since when lists were read without a gap.
    complete_since: Option<Instant>,
    last_read: Option<Instant>,
    /// When the last list was read at the earliest. Messages may wait at a host that stood still.
    last_confirmed: Option<Instant>,
}

impl History {
    /// Records a list that was read at `read`, as far as its age tells, and not before `confirmed`.
    pub fn record(&mut self, instances: &[Instance], read: Instant, confirmed: Instant) {
        let is_gapless = |last: Instant| read.saturating_duration_since(last) <= MAX_LIST_GAP;
        if !self.last_read.is_some_and(is_gapless) {
            self.complete_since = Some(read);
        }
        self.last_read = Some(read);
        self.last_confirmed = self.last_confirmed.max(Some(confirmed));
        for instance in instances {
            let key = (instance.service.clone(), instance.build.clone());
            self.last_listed.insert(key, read);
        }
        self.last_listed
            .retain(|_, listed| read.saturating_duration_since(*listed) < RETENTION);
    }

    /// Returns the build of all targets of a service in the time `window` before `asked`. Returns none
    /// if there were several, or if lists didn't show all of that time. The last list must have been
    /// read after `asked`: another build's targets may have served other hosts since any earlier one.
    pub fn only_build(
        &self,
        service: &Service,
        window: Duration,
        (asked, now): (Instant, Instant),
    ) -> Option<Build> {
        let age = |at: Instant| now.saturating_duration_since(at);
        let is_covered = self.last_confirmed? >= asked && age(self.complete_since?) >= window;
        let mut recent = self.last_listed.iter().filter(|((listed, _), last)| {
            listed == service && age(**last) <= window + MAX_LIST_GAP
        });
        let ((_, build), _) = recent.next()?;
        (is_covered && recent.next().is_none()).then(|| build.clone())
    }
}
