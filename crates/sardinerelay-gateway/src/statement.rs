//! What a target says of itself in its answers. See `docs/design/target-limits.md`.

use {crate::limit, sardinerelay::bound, std::time::Duration};

/// Longest time of rest that a target can ask for. A target that comes back after it counts as working.
pub const MAX_REST: Duration = Duration::from_secs(3600);

/// What one answer says.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Statement {
    /// The rate of requests that it takes from all hosts together.
    pub limit: limit::Statement,
    /// Whether it is about to stop.
    pub is_leaving: bool,
    /// For how long it wants no requests.
    pub rest: Rest,
    /// For how long it is still cold, if it says so.
    pub cold: Option<Duration>,
}

/// For how long a target that turned a request away wants none from this host.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Rest {
    /// It doesn't say.
    #[default]
    None,
    /// For this time.
    For(Duration),
    /// It says something that is no time, so nothing is known from it.
    Invalid,
}

impl Rest {
    /// Returns a rest of this many seconds, of at most [`MAX_REST`].
    pub fn seconds(seconds: f64) -> Self {
        match bound::fractional_seconds(seconds) {
            Some(Duration::ZERO) => Self::None,
            Some(rest) => Self::For(rest.min(MAX_REST)),
            None => Self::Invalid,
        }
    }
}
