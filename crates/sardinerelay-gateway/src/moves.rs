//! Which generation leaves an engine that is about to stop, in which order, and where it goes.
//!
//! Load pattern that it answers: an engine with several long generations is reclaimed with less
//! than two seconds of notice. Copies of memory queue on its link, so if all generations began to
//! copy at once, none would have its last copy in time. They go one after another, the one with
//! the most left to make first, and each has a destination from the start, so that its room is not
//! given to new generations meanwhile. See `docs/design/migration.md`.

use {
    crate::{placement::Need, targets::RunId},
    sardinerelay::id::Target,
    serde::{Deserialize, Serialize},
    std::{
        cmp::Reverse,
        time::{Duration, Instant},
    },
};

/// Time after which the next generation may move although the end of the move before was not told.
/// It is above the time of two copies between availability zones.
const LONGEST_MOVE: Duration = Duration::from_millis(1200);

/// Time after which a generation that waits is forgotten if its host doesn't ask again. Hosts ask
/// several times a second until their turn comes.
const FORGOTTEN: Duration = Duration::from_secs(2);

/// A generation that has to leave its engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Departure {
    /// Its number.
    pub run: RunId,
    /// The engine that it leaves.
    pub from: Target,
    /// What it needs; its availability zone is the engine's, since memory moves faster within one.
    pub need: Need,
    /// Tokens that it holds by now.
    pub tokens: u64,
    /// Engines that it can't go to.
    pub avoid: Vec<Target>,
}

#[derive(Debug)]
struct Planned {
    departure: Departure,
    to: Option<Target>,
    asked: Instant,
    began: Option<Instant>,
}

/// The moves that are wanted or under way.
#[derive(Debug, Default)]
pub struct Moves {
    planned: Vec<Planned>,
}

impl Moves {
    /// Adds a generation, unless it waits already. One whose turn it was before asks anew because
    /// that move failed; its destination then is returned.
    pub fn request(&mut self, departure: Departure, now: Instant) -> Option<Target> {
        let mut known = self.planned.iter_mut();
        let known = known.find(|planned| planned.departure.run == departure.run);
        let failed = match known {
            Some(planned) if planned.began.is_none() => {
                planned.asked = now;
                return None;
            }
            Some(_) => self.remove(departure.run),
            None => None,
        };
        self.planned.push(Planned {
            departure,
            to: None,
            asked: now,
            began: None,
        });
        self.planned.sort_by_key(|planned| {
            let need = &planned.departure.need;
            let left = (need.prompt + need.output).saturating_sub(planned.departure.tokens);
            Reverse(left)
        });
        failed
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.planned.is_empty()
    }

    /// Gives each generation a destination if `place` finds one, and returns those whose turn it
    /// is to move.
    pub fn decide<Place>(&mut self, now: Instant, mut place: Place) -> Vec<(RunId, Target)>
    where
        Place: FnMut(&Departure) -> Option<Target>,
    {
        for planned in &mut self.planned {
            if planned.to.is_none() {
                planned.to = place(&planned.departure);
            }
        }
        let mut granted = Vec::new();
        for at in 0..self.planned.len() {
            let planned = &self.planned[at];
            let Some(to) = planned.to.clone() else {
                continue;
            };
            let waits = planned.began.is_none();
            if waits && !self.is_busy(&planned.departure.from, now) && !self.is_busy(&to, now) {
                granted.push((planned.departure.run, to));
                self.planned[at].began = Some(now);
            }
        }
        granted
    }

    /// Forgets generations whose hosts no longer ask, and returns them with their destinations.
    pub fn expire(&mut self, now: Instant) -> Vec<(RunId, Option<Target>)> {
        let silent = |planned: &mut Planned| {
            let asked = planned.began.unwrap_or(planned.asked);
            now.saturating_duration_since(asked) > FORGOTTEN
        };
        let forgotten = self.planned.extract_if(.., silent);
        forgotten
            .map(|planned| (planned.departure.run, planned.to))
            .collect()
    }

    /// Forgets a generation that has moved, ended, or could not be moved. Returns its destination.
    pub fn remove(&mut self, run: RunId) -> Option<Target> {
        let at = self
            .planned
            .iter()
            .position(|planned| planned.departure.run == run)?;
        self.planned.remove(at).to
    }

    /// Whether a move takes the link of this engine, at either end.
    fn is_busy(&self, engine: &Target, now: Instant) -> bool {
        self.planned.iter().any(|planned| {
            let lasts = |began: Instant| now.saturating_duration_since(began) < LONGEST_MOVE;
            let ends = [Some(&planned.departure.from), planned.to.as_ref()];
            planned.began.is_some_and(lasts) && ends.contains(&Some(engine))
        })
    }
}
