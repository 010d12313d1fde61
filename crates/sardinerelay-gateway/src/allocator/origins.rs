//! Which build began a stream, as far as one host knows.

use {
    super::Allocator,
    crate::origin::Query,
    sardinerelay::id::Build,
    std::time::{Duration, Instant},
};

/// How a host knows which build began a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// The stream is recorded.
    Record,
    /// All targets have had this build.
    OnlyBuild,
}

impl Allocator {
    /// Returns the build that began a stream and how it is known, none if it isn't. It is also known if
    /// all targets had one build since the stream can have begun.
    pub fn find_origin(&self, query: &Query) -> Option<(Build, Source)> {
        let now = Instant::now();
        let state = self.state();
        if let Some(recorded) = state.origins.find(&query.stream, now) {
            return Some((recorded, Source::Record));
        }
        let window = Duration::from_millis(query.window_ms);
        let only = state
            .targets
            .builds
            .only_build(&query.service, window, now)?;
        Some((only, Source::OnlyBuild))
    }
}
