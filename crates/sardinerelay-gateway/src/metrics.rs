//! Metrics of one process, recorded with `opentelemetry` and encoded as Prometheus text.

use {
    crate::{group::Evacuations, targets::Targets},
    anyhow::Result,
    opentelemetry::{
        KeyValue,
        metrics::{Counter, Gauge, Histogram},
    },
    sardinerelayd::metrics::{Exporter, counter, gauge, latency_histogram},
    std::{
        slice,
        time::{Duration, Instant},
    },
};

/// Bucket bounds of the latency histograms, in seconds.
const LATENCY_BOUNDS: [f64; 14] = [
    0.005, 0.01, 0.02, 0.05, 0.1, 0.15, 0.18, 0.25, 0.5, 1.0, 1.5, 1.8, 5.0, 20.0,
];

/// The instruments of one process.
#[derive(Debug)]
pub struct Metrics {
    export: Exporter,
    requests: Counter<u64>,
    latency: Histogram<f64>,
    first_event: Histogram<f64>,
    placement_wait: Histogram<f64>,
    retries: Counter<u64>,
    continuations: Counter<u64>,
    settled: Counter<u64>,
    limit_changes: Counter<u64>,
    statements: Counter<u64>,
    permits: Counter<u64>,
    evacuated_zones: Gauge<u64>,
    evacuation_revision: Gauge<u64>,
    evacuation_moves: Counter<u64>,
    updates: Counter<u64>,
    update_bytes: Counter<u64>,
    list_pages: Counter<u64>,
    load_reads: Counter<u64>,
    load_interval: Gauge<f64>,
    spread: Gauge<f64>,
    speed: Gauge<f64>,
    load_readers: Gauge<u64>,
}

impl Metrics {
    /// Creates and registers the instruments.
    ///
    /// # Errors
    ///
    /// Returns the exporter's error.
    pub fn new() -> Result<Self> {
        let (export, meter) = Exporter::new()?;
        let seconds =
            |name, description| latency_histogram(&meter, &LATENCY_BOUNDS, name, description);
        let count = |name, description| counter(&meter, name, description);
        Ok(Self {
            requests: count("requests", "Requests by route and outcome"),
            latency: seconds("latency", "Time from request to end of answer"),
            first_event: seconds("first_event", "Time from request to first event"),
            placement_wait: seconds("waited", "Time from request to placement"),
            retries: count("repeats", "Requests sent to a further target"),
            continuations: count("continued", "Generations continued elsewhere"),
            settled: count(
                "settled",
                "Generations whose engine's connection closed, by what showed that it works on or not",
            ),
            limit_changes: count("limit_changes", "Changes of targets' stated rate limits"),
            statements: count(
                "statements",
                "Targets that began to say that they leave or want no requests",
            ),
            permits: count(
                "permits",
                "Requests for permits of limited targets by outcome",
            ),
            evacuated_zones: gauge(
                &meter,
                "evacuated_zones",
                "Zones whose targets get no attempts",
            ),
            evacuation_revision: gauge(
                &meter,
                "evacuation_revision",
                "Revision of the orders for zones that this host obeys",
            ),
            evacuation_moves: count(
                "evacuation_moves",
                "Generations moved out of evacuated zones by outcome",
            ),
            updates: count("updates", "Updates of observations sent by kind"),
            update_bytes: count(
                "update_bytes",
                "Bytes of updates of observations sent by kind",
            ),
            list_pages: count("list_pages", "Pages of the platform's list by outcome"),
            load_reads: count("load_reads", "Reads of load reports by outcome"),
            load_readers: gauge(
                &meter,
                "load_readers",
                "Hosts among which the reads of load reports are divided",
            ),
            load_interval: meter
                .f64_gauge("sardinerelay_load_interval")
                .with_unit("s")
                .with_description("Interval between reads of a load report")
                .build(),
            spread: meter
                .f64_gauge("sardinerelay_work_spread")
                .with_description("Expected work of a service's busiest target to the mean")
                .build(),
            speed: meter
                .f64_gauge("sardinerelay_target_speed")
                .with_description("Learned speed of a service's slowest and fastest target")
                .build(),
            export,
        })
    }

    /// Records the end of a request, with the time since it arrived. `route` is the name of its
    /// route or of an internal call, or empty if the request was refused.
    pub fn record_request(&self, route: &str, outcome: &'static str, took: Duration) {
        let labels = [
            KeyValue::new("route", route.to_owned()),
            KeyValue::new("outcome", outcome),
        ];
        self.requests.add(1, &labels);
        self.latency.record(took.as_secs_f64(), &labels);
    }

    /// Records that the first event of a stream was sent this long after the request arrived.
    pub fn record_first_event(&self, route: &str, took: Duration) {
        let labels = [KeyValue::new("route", route.to_owned())];
        self.first_event.record(took.as_secs_f64(), &labels);
    }

    /// Records that an engine was allocated this long after the request arrived.
    pub fn record_placement(&self, route: &str, waited: Duration) {
        let labels = [KeyValue::new("route", route.to_owned())];
        self.placement_wait.record(waited.as_secs_f64(), &labels);
    }

    /// Records that a request is sent to a further target.
    pub fn record_retry(&self, route: &str) {
        self.retries
            .add(1, &[KeyValue::new("route", route.to_owned())]);
    }

    /// Records an attempt to continue a generation, and its outcome.
    pub fn record_continuation(&self, outcome: &'static str) {
        self.continuations
            .add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Records what showed whether an engine works on a generation after its connection closed.
    pub fn record_settled(&self, evidence: &'static str) {
        self.settled.add(1, &[KeyValue::new("evidence", evidence)]);
    }

    /// Records that a target has begun to say something of itself to this host.
    pub fn record_statement(&self, kind: &'static str) {
        self.statements.add(1, &[KeyValue::new("kind", kind)]);
    }

    /// Records that a target states another rate limit than before, or none.
    pub fn record_limit_change(&self) {
        self.limit_changes.add(1, &[]);
    }

    /// Records a request for a permit to send a call to a limited target.
    pub fn record_permit(&self, outcome: &'static str) {
        self.permits.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Records the orders for zones that this host obeys.
    pub fn record_evacuations(&self, evacuations: &Evacuations) {
        let zones = evacuations.evacuated().count();
        self.evacuated_zones.record(zones as u64, &[]);
        self.evacuation_revision.record(evacuations.revision, &[]);
    }

    /// Records the end of an attempt to move a generation out of an evacuated zone.
    pub fn record_evacuation_move(&self, outcome: &'static str) {
        self.evacuation_moves
            .add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Records that an update of the observations was sent. `kind` is `delta`, `keep_alive` or the reason
    /// of a full snapshot.
    pub fn record_update(&self, kind: &'static str, bytes: usize) {
        let labels = [KeyValue::new("kind", kind)];
        self.updates.add(1, &labels);
        self.update_bytes.add(bytes as u64, &labels);
    }

    /// Records that a page of the platform's list was asked for.
    pub fn record_list_page(&self, outcome: &'static str) {
        self.list_pages.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Records that a load report was asked for.
    pub fn record_load_read(&self, outcome: &'static str) {
        self.load_reads.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Records the number of hosts that read load reports, on the leader.
    pub fn record_load_readers(&self, readers: usize) {
        self.load_readers.record(readers as u64, &[]);
    }

    /// Records the interval at which this host reads the report of an engine.
    pub fn record_load_interval(&self, interval: Duration) {
        self.load_interval.record(interval.as_secs_f64(), &[]);
    }

    /// Records how evenly the targets of each service are loaded, and their learned speeds.
    pub fn record_balances(&self, targets: &Targets, now: Instant) {
        for (service, balance) in targets.balances(now) {
            let service = KeyValue::new("service", service.to_string());
            let labels = |target| [service.clone(), KeyValue::new("target", target)];
            self.spread
                .record(balance.spread, slice::from_ref(&service));
            self.speed.record(balance.slowest, &labels("slowest"));
            self.speed.record(balance.fastest, &labels("fastest"));
        }
    }

    /// Returns the present values as Prometheus text.
    ///
    /// # Errors
    ///
    /// Returns the encoder's error.
    pub fn encode(&self) -> Result<Vec<u8>> {
        self.export.text()
    }
}
