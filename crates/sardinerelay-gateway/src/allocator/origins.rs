//! Which build began a stream, as a voter answers it.

use {
    super::Allocator,
    crate::origin::Query,
    sardinerelay::id::Build,
    std::time::{Duration, Instant},
};

impl Allocator {
    /// Returns the build that began a stream, none if it isn't known. It is also known if all targets
    /// had one build since the stream can have begun.
    pub fn find_origin(&self, query: &Query) -> Option<Build> {
        let now = Instant::now();
        let state = self.state();
        let window = Duration::from_millis(query.window_ms);
        let recorded = state.origins.find(&query.stream, now);
        let only = || state.targets.builds.only_build(&query.service, window, now);
        recorded.or_else(only)
    }
}
