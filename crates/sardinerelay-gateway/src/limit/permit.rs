//! Permits to send requests to targets that state a rate limit.
//!
//! The allocating host counts for all hosts. Each asks it for a permit before it sends a call to a
//! limited target; generations get theirs with their engine. A host that can't reach it uses an
//! equal share of the limit.

use {
    super::{Described, Limit, Rate, Reached, Statement},
    crate::{
        allocator::Scope,
        observations::or_default,
        targets::{State, Targets, instant_before},
    },
    log::info,
    sardinerelay::id::{Incarnation, Target},
    serde::{Deserialize, Serialize},
    std::time::{Duration, Instant},
};

/// One incarnation of a target, and the limit that the host at hand knows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Known {
    pub target: Target,
    pub incarnation: Incarnation,
    /// None if the limit has ended.
    pub rate: Option<Rate>,
}

/// A limit that the allocating host publishes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Published {
    pub known: Known,
    /// Time since the allocating host was last told of it.
    pub age: Duration,
}

/// A request for a permit to send a call to one of several targets.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// The targets in the order in which the host prefers them.
    pub targets: Vec<Known>,
    /// Time for which the call can wait.
    pub max_wait: Duration,
    /// Whether the host knows each of the targets to be cold. Hosts of earlier versions don't send it.
    #[serde(deserialize_with = "or_default")]
    pub cold: Vec<bool>,
}

/// The reply to a [`Request`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The call may be sent to the target at this position, after this time.
    Granted(u32, Duration),
    /// All targets have reached their limits. A retry makes sense after this time.
    Refused(Duration),
    /// The allocating host knows none of the targets.
    Unknown,
}

impl Reply {
    /// Returns the outcome's label in metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Granted(..) => "granted",
            Self::Refused(_) => "refused",
            Self::Unknown => "unknown",
        }
    }
}

/// A host's report that a target has stated another limit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The target with its new limit.
    pub known: Known,
    /// The limit that the host knew before.
    pub before: Option<Rate>,
}

impl Targets {
    /// Returns the part of each limit that a host with this scope may use.
    pub fn limit_share(&self, scope: Scope) -> f64 {
        match scope {
            Scope::Group => 1.0,
            Scope::Local => 1.0 / f64::from(self.sharing_hosts()),
        }
    }

    /// Takes a permit for a call from the first target that has one in time.
    pub fn grant(&mut self, request: &Request, scope: Scope, now: Instant) -> Reply {
        let share = self.limit_share(scope);
        let mut retry_after: Option<Duration> = None;
        for (position, known) in request.targets.iter().enumerate() {
            let is_cold = request.cold.get(position).copied().unwrap_or_default();
            let Some(limit) = self.limit_mut(&known.target, known.incarnation) else {
                continue;
            };
            if let Some(rate) = known.rate {
                limit.adopt_if_unknown(rate, now);
            }
            let paced = self.try_count_request(&known.target, (scope, is_cold), now);
            let taken = match (paced, self.limit_mut(&known.target, known.incarnation)) {
                (Ok(()), Some(limit)) => limit.take(share, request.max_wait, now),
                (Err(retry_after), _) => Err(Reached { retry_after }),
                (_, None) => continue,
            };
            match taken {
                Ok(wait) => return Reply::Granted(position as u32, wait),
                Err(Reached { retry_after: after }) => {
                    if paced.is_ok() {
                        self.give_back(&(known.target.clone(), known.incarnation), now);
                    }
                    retry_after = Some(retry_after.map_or(after, |before| before.min(after)));
                }
            }
        }
        retry_after.map_or(Reply::Unknown, Reply::Refused)
    }

    /// Counts a request that is sent to a target in any case.
    pub fn charge_limit(&mut self, target: &str, scope: Scope, now: Instant) {
        let share = self.limit_share(scope);
        if let Some(state) = self.get_mut(target) {
            state.limit.charge(share, now);
        }
        self.count_request(target, now);
    }

    /// Records what the response to a request states that was sent to a target at `sent`. Returns the
    /// change, none if the target stated the same before.
    pub fn record_limit(
        &mut self,
        target: &str,
        statement: Statement,
        sent: Instant,
        now: Instant,
    ) -> Option<Change> {
        let state = self.get_mut(target)?;
        let before = state.limit.rate();
        if !state.limit.record(statement, sent, now) {
            return None;
        }
        let known = state.known_limit();
        info!(
            target_id = target, limit:% = Described(known.rate), before:% = Described(before);
            "a target states another rate limit"
        );
        Some(Change { known, before })
    }

    /// Applies another host's report that a target has stated another limit.
    pub fn apply_limit(&mut self, change: &Change, now: Instant) {
        let Known {
            target,
            incarnation,
            rate,
        } = &change.known;
        let Some(limit) = self.limit_mut(target, *incarnation) else {
            return;
        };
        if limit.apply(*rate, change.before, now) {
            info!(
                target_id = target.as_str(), limit:% = Described(*rate), before:% = Described(change.before);
                "another host was told of a rate limit"
            );
        }
    }

    /// Adopts the limits that the allocating host publishes. Returns a report for each target that
    /// has stated something else to this host since.
    pub fn adopt_limits(&mut self, published: &[Published], now: Instant) -> Vec<Change> {
        let mut changes = Vec::new();
        for Published { known, age } in published {
            let told = instant_before(now, age.as_millis() as u64);
            let Some(limit) = self.limit_mut(&known.target, known.incarnation) else {
                continue;
            };
            if limit.adopt(known.rate, told, now) {
                changes.push(Change {
                    known: Known {
                        rate: limit.rate(),
                        ..known.clone()
                    },
                    before: known.rate,
                });
            }
        }
        changes
    }

    /// Returns all limits, and those that have ended recently.
    pub fn published_limits(&self, now: Instant) -> Vec<Published> {
        let is_known =
            |state: &&State| state.limit.rate().is_some() || state.limit.has_ended_recently(now);
        let limits = self.all().filter(is_known).map(|state| Published {
            known: state.known_limit(),
            age: state.limit.age(now),
        });
        limits.collect()
    }

    fn limit_mut(&mut self, target: &str, incarnation: Incarnation) -> Option<&mut Limit> {
        let state = self.get_mut(target)?;
        (state.instance.incarnation == incarnation).then_some(&mut state.limit)
    }
}

impl State {
    /// Returns the limit of this incarnation.
    pub fn known_limit(&self) -> Known {
        Known {
            target: self.instance.target.clone(),
            incarnation: self.instance.incarnation,
            rate: self.limit.rate(),
        }
    }
}
