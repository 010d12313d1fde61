//! The JSON-RPC methods between hosts, and their parameters.

use {
    super::{evacuation::Revision, register::Document},
    crate::{
        homes::Homes, moves::Departure, observations::or_default, placement::Need, targets::RunId,
    },
    compact_str::CompactString,
    sardinerelay::id::{Build, Host, Version, Zone},
    sardinerelayd::peer::Packed,
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Stores a configuration.
pub(super) const SUBMIT_METHOD: &str = "register.submit";
/// Asks for the newest version of the configuration, confirmed by a quorum.
pub(super) const CONFIRM_METHOD: &str = "register.confirm";
/// Asks for the revision of a zone, confirmed by a quorum.
pub(super) const ZONE_STATE_METHOD: &str = "evacuation.state";
/// Evacuates a zone or ends its evacuation.
pub(super) const ORDER_METHOD: &str = "evacuation.order";
/// Waits for orders for zones that are newer than those that the caller knows.
pub const WATCH_EVACUATIONS_METHOD: &str = "evacuation.watch";
/// Asks for the status of a host. A host that isn't a voter yet also uses it to ask to join.
pub(super) const STATUS_METHOD: &str = "group.standing";
/// Waits until there is a newer configuration.
pub const WATCH_CONFIGURATION_METHOD: &str = "configuration.watch";
/// Fetches a piece of what makes the newest configuration out of an earlier one.
pub const FETCH_CONFIGURATION_METHOD: &str = "configuration.fetch";
/// Waits for a newer configuration and returns it whole. Entry hosts of earlier versions use it.
pub const FOLLOW_CONFIGURATION_METHOD: &str = "configuration.follow";
/// Waits for an update of the observations of targets. Its parameter is an [`Request`](crate::observations::update::Request), and the
/// result a packed [`Update`](crate::observations::update::Update), or `null` if nothing was published yet.
pub const FOLLOW_TARGETS_METHOD: &str = "targets.follow";
/// Asks for a host's availability zone.
pub const ZONE_METHOD: &str = "targets.zone";
/// Waits for newer observations of targets and returns them whole. Hosts of earlier versions use it.
pub const FOLLOW_OBSERVATIONS_METHOD: &str = "board.follow";

/// Asks for an engine for a generation.
pub const ACQUIRE_METHOD: &str = "place.acquire";
/// Asks for an engine to which a running generation can move.
pub const RELOCATE_METHOD: &str = "place.relocate";
/// Notifies a host that begins to allocate of the parts of prompts that were answered last.
pub const ANSWERED_METHOD: &str = "quarantine.answered";
/// Notifies the allocating host of requests that were answered to the end, by their numbers. Hosts of earlier
/// versions ignore it, and take a first event for an answer.
pub const COMPLETED_METHOD: &str = "quarantine.completed";
/// Notifies the allocating host of [`LateCrash`](crate::quarantine::LateCrash)es. Hosts of earlier versions ignore it.
pub const LATE_CRASH_METHOD: &str = "quarantine.crashed";
/// Notifies the allocating host of [`AllocationReport`](super::AllocationReport)s.
pub const REPORT_METHOD: &str = "place.report";
/// Asks for a permit to send a call to a target that states a rate limit.
pub const PERMIT_METHOD: &str = "limit.permit";
/// Notifies the allocating host of [`Change`](crate::limit::permit::Change)s. A method of its own, because hosts of
/// earlier versions can't parse further variants of [`AllocationReport`](super::AllocationReport).
pub const LIMIT_METHOD: &str = "limit.report";
/// Notifies the allocating host of [`RequestReport`](super::RequestReport)s.
pub const REQUEST_METHOD: &str = "quarantine.report";
/// Notifies the allocating host of [`Pace`](crate::pace::Pace)s. Hosts of earlier versions ignore it.
pub const PACE_METHOD: &str = "pace.report";
/// Notifies the allocating host of requests that were counted for a target and turned away with 421.
pub const MISDIRECTED_METHOD: &str = "pacing.misdirected";
/// Notifies a host that begins to allocate of running requests, as [`RunningRequest`](super::RunningRequest)s.
pub const RUNNING_METHOD: &str = "shares.report";
/// Notifies the leader of load reports that another voter read, in a [`LoadsReport`](crate::observer::division::LoadsReport). Hosts of earlier versions
/// ignore it.
pub const LOADS_METHOD: &str = "loads.report";
/// Tells a voter of streams that [`Began`](crate::origin::Began). The result is the number of its record, as in
/// [`Origins::incarnation`](crate::origin::Origins::incarnation).
pub const TELL_ORIGINS_METHOD: &str = "stream.tell";
/// Copies a page of a voter's record of streams.
pub(super) const COPY_ORIGINS_METHOD: &str = "stream.copy";
/// Notifies voters of earlier versions of streams that [`Began`](crate::origin::Began).
pub const BEGAN_METHOD: &str = "stream.began";
/// Asks a voter which build began a stream. A voter that doesn't know it answers with an error as long as it
/// may still be told.
pub const ORIGIN_METHOD: &str = "stream.origin";
/// Parameters of [`SUBMIT_METHOD`].
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Submit {
    pub(super) document: Packed<Document>,
}

/// Parameters of [`ZONE_STATE_METHOD`].
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct ZoneQuery {
    pub(super) zone: Zone,
}

/// Parameters of [`WATCH_EVACUATIONS_METHOD`]. The result is [`Evacuations`](super::Evacuations), or `null` if the wait ends
/// without newer ones or before this voter has caught up with the leader.
#[derive(Debug, Serialize, Deserialize)]
pub struct WatchEvacuations {
    /// The highest revision that the host knows, none after its start.
    pub known: Option<Revision>,
    /// Time to wait for a higher one, in milliseconds.
    pub wait_ms: u64,
}

/// The host of a request that is only about the group.
pub const NO_HOST: Host = 0;

/// A request for the status of the group, and of one host in it.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct StatusRequest {
    /// The host that the status is about, [`NO_HOST`] if only the group matters.
    pub host: Host,
    /// Whether that host asks to join.
    #[serde(rename = "joining")]
    pub is_joining: bool,
    /// Whether that host was started together with the whole system.
    #[serde(rename = "founding")]
    pub is_founding: bool,
    /// Whether that host is about to end, and wants to be replaced if a learner has caught up.
    #[serde(default, rename = "leaving")]
    pub is_leaving: bool,
}

/// Parameters of [`FOLLOW_CONFIGURATION_METHOD`]. The result is `null` if the wait ends
/// without a newer configuration.
#[derive(Debug, Serialize, Deserialize)]
pub struct FollowConfiguration {
    /// Name of the entry host that follows.
    pub host: CompactString,
    /// The version that the follower has, 0 if it has none.
    pub version: Version,
    /// Time to wait for a newer one, in milliseconds.
    pub wait_ms: u64,
}

/// Parameters of [`FOLLOW_OBSERVATIONS_METHOD`]. The result is `null` if the wait ends without
/// newer observations.
#[derive(Debug, Serialize, Deserialize)]
pub struct FollowObservations {
    /// The stamp of the observations that the follower has, 0 if it has none.
    pub stamp: u64,
    /// Time to wait for newer ones, in milliseconds.
    pub wait_ms: u64,
}

/// Parameters of [`ACQUIRE_METHOD`].
#[derive(Debug, Serialize, Deserialize)]
pub struct Acquire {
    /// The request's number, unique among all entry hosts. Calls with the same number continue the
    /// same wait.
    pub run: RunId,
    /// What the generation needs of an engine.
    pub need: Need,
    /// Time for which the request may still wait for an engine.
    #[serde(rename = "left")]
    pub remaining: Duration,
    /// Longest time that this call may wait.
    #[serde(rename = "wait")]
    pub max_wait: Duration,
    /// The build that must run it. Hosts of earlier versions don't send it.
    #[serde(deserialize_with = "or_default")]
    pub build: Option<Build>,
    /// The regions in which it may run. Hosts of earlier versions don't send them.
    #[serde(deserialize_with = "or_default")]
    pub homes: Homes,
}

/// Parameters of [`RELOCATE_METHOD`].
#[derive(Debug, Serialize, Deserialize)]
pub struct Relocate {
    /// The generation that moves.
    pub departure: Departure,
    /// Longest time that this call may wait.
    #[serde(rename = "wait")]
    pub max_wait: Duration,
    /// The regions in which it may run. Hosts of earlier versions don't send them.
    #[serde(deserialize_with = "or_default")]
    pub homes: Homes,
}
