//! Runs a load test: sends the requests, measures them, reads the records and builds the report.

use {
    crate::{
        call::Runner,
        client::{Client, ReadError},
        config::Config,
        measure::Totals,
        plan::{Arrival, Plan},
        report::Report,
        verify::Records,
    },
    compact_str::CompactString,
    std::{
        net::SocketAddr,
        sync::Arc,
        thread,
        time::{Duration, Instant},
    },
    thiserror::Error,
    tokio::{sync::mpsc, task::JoinSet, time::sleep},
    uuid::Uuid,
};

/// Time before the start of the run, in which the threads start up.
const START_DELAY: Duration = Duration::from_millis(50);
/// Delay before the records are read, in which calls that were abandoned by their caller can still
/// be executed.
const RECORD_READ_DELAY: Duration = Duration::from_secs(1);

/// Error that prevents a report.
#[derive(Debug, Error)]
pub enum Error {
    /// The record of a stand-in could not be read.
    #[error("reading the record of {0}")]
    Record(SocketAddr, #[source] ReadError),
}

/// Runs the load test and returns its report.
///
/// # Errors
///
/// Returns an error if the record of a stand-in cannot be read.
pub async fn run(config: Config) -> Result<Report, Error> {
    let start = Instant::now() + START_DELAY;
    let id = Uuid::new_v4().simple().to_string();
    let runner = Arc::new(Runner {
        client: Client::new(),
        run_id: CompactString::new(&id[..12]),
        start,
        config,
    });
    log::info!("run {} with seed {}", runner.run_id, runner.config.seed);
    let totals = send_all(&runner).await;
    let config = &runner.config;
    if !config.engines.is_empty() || !config.services.is_empty() {
        sleep(RECORD_READ_DELAY).await;
    }
    let records = Records::read(
        &runner.client,
        &runner.run_id,
        &config.engines,
        &config.services,
    )
    .await
    .map_err(|(address, error)| Error::Record(address, error))?;
    Ok(Report::new(config, &totals, &records))
}

/// Sends every request at its arrival time and returns the totals.
async fn send_all(runner: &Arc<Runner>) -> Totals {
    let (sender, mut arrivals) = mpsc::unbounded_channel();
    let schedule = runner.clone();
    let scheduler = thread::spawn(move || schedule_arrivals(&schedule, &sender));
    let config = &runner.config;
    let mut totals = Totals::new(config.organisations.len(), runner.start, config.duration);
    let mut requests = JoinSet::new();
    let mut open = true;
    while open || !requests.is_empty() {
        tokio::select! {
            arrival = arrivals.recv(), if open => match arrival {
                Some(arrival) => {
                    let runner = runner.clone();
                    requests.spawn(async move { runner.execute(arrival).await });
                }
                None => open = false,
            },
            Some(ended) = requests.join_next() => match ended {
                Ok(sample) => totals.add(sample),
                Err(error) => log::error!("task of a request failed: {error}"),
            },
        }
    }
    if scheduler.join().is_err() {
        log::error!("scheduler thread panicked; arrivals are missing");
    }
    totals
}

/// Sends each arrival at its time. It sleeps on a separate thread, because the runtime's timer
/// rounds up to the next millisecond, which would affect every latency.
fn schedule_arrivals(runner: &Runner, sender: &mpsc::UnboundedSender<Arrival>) {
    for arrival in Plan::new(&runner.config) {
        let due = runner.start + arrival.at;
        thread::sleep(due.saturating_duration_since(Instant::now()));
        if sender.send(arrival).is_err() {
            return;
        }
    }
}
