//! The observations of one host, received as updates, or whole from a host of an earlier version.

use {
    super::FOLLOW_RESPONSE_MARGIN,
    crate::{
        group::{FOLLOW_OBSERVATIONS_METHOD, FOLLOW_TARGETS_METHOD, FollowObservations},
        observations::{
            Observations,
            update::{Loads, Request, Update},
            view::{Gap, View},
        },
    },
    compact_str::CompactString,
    log::{info, warn},
    sardinerelay::id::Zone,
    sardinerelayd::peer::{Client, Error, Packed},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::time::sleep,
};

/// Delay after a gap. Full snapshots are large, and a fault that repeats must not have them sent all the
/// time.
const GAP_DELAY: Duration = Duration::from_millis(500);

/// Who follows, and what it needs.
#[derive(Debug, Clone)]
pub(super) struct Follower {
    pub(super) host: CompactString,
    pub(super) zone: Zone,
    pub(super) loads: Loads,
    /// Time to wait for a change.
    pub(super) wait: Duration,
}

/// The observations of one host.
#[derive(Debug)]
pub(super) struct Subscription {
    client: Arc<Client>,
    view: View,
    /// The stamp of the observations that a host of an earlier version sent whole.
    whole_stamp: u64,
    /// Whether the host was last found to have an earlier version.
    is_earlier: bool,
}

impl Subscription {
    /// Starts with nothing received.
    pub(super) fn new(client: Arc<Client>) -> Self {
        Self {
            client,
            view: View::default(),
            whole_stamp: 0,
            is_earlier: false,
        }
    }

    /// Forgets what was received. The next request is for a full snapshot.
    pub(super) fn reset(&mut self) {
        *self = Self::new(Arc::clone(&self.client));
    }

    /// Waits for the next observations. Returns none if there is nothing newer.
    ///
    /// # Errors
    ///
    /// Returns the error of the call.
    pub(super) async fn next(
        &mut self,
        follower: &Follower,
    ) -> Result<Option<Observations>, Error> {
        let request = Packed(Request {
            host: follower.host.clone(),
            position: self.view.position(),
            zone: follower.zone.clone(),
            loads: follower.loads,
            held_loads: self.view.held_loads(),
            wait_ms: follower.wait.as_millis() as u64,
        });
        let limit = follower.wait + FOLLOW_RESPONSE_MARGIN;
        let asked = Instant::now();
        let called = self.client.call(FOLLOW_TARGETS_METHOD, &request, limit);
        let update: Option<Packed<Update>> = match called.await {
            Err(error) if error.is_unknown_method() => return self.next_whole(follower).await,
            called => called?,
        };
        if std::mem::take(&mut self.is_earlier) {
            info!(address:% = self.client.address(); "the followed host sends updates of observations");
        }
        let Some(Packed(update)) = update else {
            return Ok(None);
        };
        let (base, stamp) = (update.base, update.stamp);
        match self.view.apply(update, asked, Instant::now()) {
            Ok(observations) => Ok(Some(observations)),
            Err(Gap::Older) => Ok(None),
            Err(gap) => {
                warn!(
                    address:% = self.client.address(), base = base, stamp = stamp, reason:% = gap;
                    "an update can't be applied, a full snapshot is requested"
                );
                sleep(GAP_DELAY).await;
                Ok(None)
            }
        }
    }

    /// Waits for the observations of a host that has an earlier version and sends them whole.
    async fn next_whole(&mut self, follower: &Follower) -> Result<Option<Observations>, Error> {
        if !std::mem::replace(&mut self.is_earlier, true) {
            info!(address:% = self.client.address(); "the followed host sends whole observations");
        }
        let follow = FollowObservations {
            stamp: self.whole_stamp,
            wait_ms: follower.wait.as_millis() as u64,
        };
        let asked = Instant::now();
        let limit = follower.wait + FOLLOW_RESPONSE_MARGIN;
        let called = self
            .client
            .call(FOLLOW_OBSERVATIONS_METHOD, &follow, limit)
            .await;
        let response: Option<Packed<Observations>> = called?;
        Ok(response.map(|Packed(mut observations)| {
            let Observations {
                builds, instances, ..
            } = &mut observations;
            builds.assign(instances);
            self.whole_stamp = observations.stamp;
            observations.asked = Some(asked);
            observations.ages_updated = Some(Instant::now());
            observations
        }))
    }
}
