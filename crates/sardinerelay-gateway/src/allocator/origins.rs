//! Which build began a stream, as far as one host knows.

use {
    super::Allocator,
    crate::origin::Query,
    sardinerelay::id::Build,
    std::time::{Duration, Instant},
    tokio::time::sleep,
};

/// Interval at which a new list is looked for.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// How a host knows which build began a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// The stream is recorded.
    Record,
    /// All targets have had this build.
    OnlyBuild,
}

impl Allocator {
    /// Waits up to `time_limit` until it is known which build began a stream, and how. It is also known if
    /// all targets had one build since the stream can have begun, by a list that was read after this call.
    pub async fn find_origin(
        &self,
        query: &Query,
        time_limit: Duration,
    ) -> Option<(Build, Source)> {
        let asked = Instant::now();
        loop {
            if let Some(found) = self.known_origin(query, asked) {
                return Some(found);
            }
            if asked.elapsed() >= time_limit {
                return None;
            }
            sleep(CHECK_INTERVAL).await;
        }
    }

    /// Returns the build that began a stream and how that is known, for a question that was asked at `asked`.
    fn known_origin(&self, query: &Query, asked: Instant) -> Option<(Build, Source)> {
        let now = Instant::now();
        let state = self.state();
        if let Some(recorded) = state.origins.find(&query.stream, now) {
            return Some((recorded, Source::Record));
        }
        let window = Duration::from_millis(query.window_ms);
        let only = state
            .targets
            .builds
            .only_build(&query.service, window, (asked, now))?;
        Some((only, Source::OnlyBuild))
    }
}
