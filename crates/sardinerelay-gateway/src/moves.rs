//! The order in which generations leave engines that are about to stop, and their destinations.
//!
//! An engine with several long generations may be reclaimed with less than two seconds of notice.
//! Memory copies queue on its link, so if all generations began to copy at once, none would finish
//! its last copy in time. They therefore move one after another. The notice may be too short for all
//! of them; most are saved if those with the least memory go first. Each gets a destination as soon
//! as one is found, so that the memory there isn't given to new generations while it waits. See `docs/design/migration.md`.

use {
    crate::{placement::Need, targets::RunId},
    sardinerelay::id::Target,
    serde::{Deserialize, Serialize},
    std::{
        cmp::Reverse,
        time::{Duration, Instant},
    },
};

/// Time after which the next generation may move although the end of the previous move wasn't
/// reported. It is longer than two copies between availability zones take.
const MOVE_TIMEOUT: Duration = Duration::from_millis(1200);

/// Time after which a move is dropped if its host no longer requests it. Hosts repeat the request
/// several times a second until it is granted.
const MOVE_REQUEST_LIFETIME: Duration = Duration::from_secs(2);

/// A generation that has to leave its engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Departure {
    /// Number of the request, unique among all entry hosts.
    pub run: RunId,
    /// Engine that it leaves.
    pub from: Target,
    /// What its placement depends on. The availability zone is that of the engine that it leaves,
    /// because memory moves faster within one zone.
    pub need: Need,
    /// Tokens of memory that it uses now.
    pub tokens: u64,
    /// Engines that it can't move to, because a move there has just failed.
    pub avoid: Vec<Target>,
}

/// A move that was requested or is under way.
#[derive(Debug)]
struct PlannedMove {
    departure: Departure,
    /// Engine that it moves to; none until one is found.
    destination: Option<Target>,
    /// When its host last requested the move.
    last_requested: Instant,
    /// When the move was granted; none while it waits for its turn.
    started: Option<Instant>,
    /// Whether the engine that it leaves is about to stop. Otherwise only its zone is evacuated, and the
    /// generation can stay where it is.
    is_reclaimed: bool,
}

impl PlannedMove {
    /// Position in the order of moves. Generations on engines that stop come first, those with the least
    /// memory before others, since the notice isn't long enough for all. An evacuation has no such end, so
    /// those come first that would lose most if the zone failed.
    fn rank(&self) -> (bool, u64, Reverse<u64>) {
        let need = &self.departure.need;
        let tokens = self.departure.tokens;
        let remaining = need.total_tokens().saturating_sub(tokens);
        match self.is_reclaimed {
            true => (false, tokens, Reverse(remaining)),
            false => (true, u64::MAX - tokens, Reverse(remaining)),
        }
    }
}

/// Requested moves and moves under way, in the order of `PlannedMove::rank`.
#[derive(Debug, Default)]
pub struct Moves {
    planned: Vec<PlannedMove>,
}

impl Moves {
    /// Adds a generation, unless it already waits. If its move was already granted, the host
    /// requests another one because that move failed. The failed destination is then returned.
    pub fn request(&mut self, departure: Departure, now: Instant) -> Option<Target> {
        let mut existing = self.planned.iter_mut();
        let existing = existing.find(|planned| planned.departure.run == departure.run);
        let failed = match existing {
            Some(planned) if planned.started.is_none() => {
                planned.last_requested = now;
                return None;
            }
            Some(_) => self.remove(departure.run),
            None => None,
        };
        self.planned.push(PlannedMove {
            departure,
            destination: None,
            last_requested: now,
            started: None,
            is_reclaimed: true,
        });
        self.planned.sort_by_key(PlannedMove::rank);
        failed
    }

    /// Puts the generations that leave engines which are about to stop first. The others leave an evacuated
    /// zone.
    pub fn put_first<Reclaimed>(&mut self, is_reclaimed: Reclaimed)
    where
        Reclaimed: Fn(&Target) -> bool,
    {
        for planned in &mut self.planned {
            planned.is_reclaimed = is_reclaimed(&planned.departure.from);
        }
        self.planned.sort_by_key(PlannedMove::rank);
    }

    /// Whether no move is requested or under way.
    pub fn is_empty(&self) -> bool {
        self.planned.is_empty()
    }

    /// Gives each generation a destination if `place` finds one, and returns those that may move
    /// now: an engine takes part in one move at a time, as source or destination. A generation that leaves
    /// an evacuated zone gets a destination only when it is the next one of its engine and all those have one
    /// whose engines are about to stop.
    pub fn decide<Place>(&mut self, now: Instant, mut place: Place) -> Vec<(RunId, Target)>
    where
        Place: FnMut(&Departure) -> Option<Target>,
    {
        for index in 0..self.planned.len() {
            let planned = &self.planned[index];
            if planned.destination.is_none() && (planned.is_reclaimed || self.is_next(index)) {
                self.planned[index].destination = place(&self.planned[index].departure);
            }
        }
        let mut granted = Vec::new();
        for index in 0..self.planned.len() {
            let planned = &self.planned[index];
            let Some(destination) = planned.destination.clone() else {
                continue;
            };
            let is_waiting = planned.started.is_none();
            if is_waiting
                && !self.is_link_busy(&planned.departure.from, now)
                && !self.is_link_busy(&destination, now)
            {
                granted.push((planned.departure.run, destination));
                self.planned[index].started = Some(now);
            }
        }
        granted
    }

    /// Drops moves that were last requested, or granted, longer than `MOVE_REQUEST_LIFETIME` ago.
    /// Returns their generations and destinations.
    pub fn expire(&mut self, now: Instant) -> Vec<(RunId, Option<Target>)> {
        let is_expired = |planned: &mut PlannedMove| {
            let since = planned.started.unwrap_or(planned.last_requested);
            now.saturating_duration_since(since) > MOVE_REQUEST_LIFETIME
        };
        let expired = self.planned.extract_if(.., is_expired);
        expired
            .map(|planned| (planned.departure.run, planned.destination))
            .collect()
    }

    /// Takes the destinations that are `lost` from the generations that still wait for their turn.
    /// Returns these generations and destinations.
    pub fn drop_destinations<Lost>(&mut self, lost: Lost) -> Vec<(RunId, Target)>
    where
        Lost: Fn(&Target) -> bool,
    {
        let waiting = self.planned.iter_mut();
        let waiting = waiting.filter(|planned| planned.started.is_none());
        waiting
            .filter_map(|planned| {
                let dropped = planned.destination.take_if(|to| lost(to))?;
                Some((planned.departure.run, dropped))
            })
            .collect()
    }

    /// Removes a generation that has moved, has ended, or could not be moved. Returns its
    /// destination.
    pub fn remove(&mut self, run: RunId) -> Option<Target> {
        let index = self
            .planned
            .iter()
            .position(|planned| planned.departure.run == run)?;
        self.planned.remove(index).destination
    }

    /// Whether no generation on an engine that is about to stop lacks a destination, and no other one on the
    /// same engine has one.
    fn is_next(&self, index: usize) -> bool {
        let from = &self.planned[index].departure.from;
        self.planned.iter().all(|other| match &other.destination {
            Some(_) => other.departure.from != *from,
            None => !other.is_reclaimed,
        })
    }

    /// Whether a move uses the link of an engine, as its source or destination.
    fn is_link_busy(&self, engine: &Target, now: Instant) -> bool {
        self.planned.iter().any(|planned| {
            let is_active =
                |started: Instant| now.saturating_duration_since(started) < MOVE_TIMEOUT;
            let ends = [Some(&planned.departure.from), planned.destination.as_ref()];
            planned.started.is_some_and(is_active) && ends.contains(&Some(engine))
        })
    }
}
