//! The report of a run, as JSON data and as text.

use {
    crate::{
        check::{Violation, ViolationKind},
        config::Config,
        measure::{RequestStats, SecondStats, Totals, jain_index},
        verify::Records,
        workload::Workload,
    },
    compact_str::CompactString,
    hdrhistogram::Histogram,
    serde::Serialize,
    std::{
        collections::BTreeMap,
        fmt::{self, Display, Formatter},
    },
};

/// Maximum number of violations that are violations_found individually. All of them are counted.
const MAX_LISTED_VIOLATIONS: usize = 100;
/// Points of the latency curves per factor of ten in `1 / (1 - quantile)`.
const CURVE_STEPS_PER_DECADE: u32 = 8;
/// Factors of ten in the latency curves; 4 ends at the 99.99th percentile.
const CURVE_DECADES: u32 = 4;

/// Results of a run.
#[derive(Debug, Serialize)]
pub struct Report {
    pub workload: Workload,
    /// Seed of arrivals, prompts and output lengths.
    pub seed: u64,
    /// Requested mean number of arrivals per second.
    pub rate: f64,
    /// Length of the arrival window in seconds.
    pub duration_s: f64,
    /// Time from the start to the end of the last request, in seconds.
    pub elapsed_s: f64,
    /// Tokens of complete and correct answers that arrived within the arrival window, per second of
    /// the window. The answers may have ended after it.
    pub goodput_tokens_per_s: f64,
    /// Complete and correct generations that ended within the arrival window, per second of the
    /// window.
    pub goodput_answers_per_s: f64,
    /// Number of tokens that arrived.
    pub tokens: u64,
    /// Jain's fairness index of the organisations' ratios of served to demanded tokens.
    pub jain: f64,
    /// Number of preemptions that the usage events state.
    pub preemptions_usage: u64,
    /// Number of preemptions that the engines recorded for this run; `None` if their records were
    /// not read.
    pub preemptions_recorded: Option<u64>,
    /// Figures of all generations.
    pub generations: RequestRow,
    /// Figures by kind of request.
    pub kinds: BTreeMap<&'static str, RequestRow>,
    /// Number of refusals and errors by status, code and whether the request was executed.
    pub refusals: BTreeMap<CompactString, u64>,
    /// Number of violations by kind.
    pub violations: BTreeMap<ViolationKind, u64>,
    /// The first violations, limited in number.
    pub violation_list: Vec<Violation>,
    /// Figures by organisation.
    pub organisations: Vec<OrganisationRow>,
    /// How much later than intended requests were sent. Every latency includes this time.
    pub lateness_ms: Quantiles,
    /// Latency curves of all generations.
    pub curves: Curves,
    /// Figures by second since the start of the run.
    pub seconds: Vec<SecondRow>,
}

/// Figures of one kind of request, or of all generations.
#[derive(Debug, Serialize)]
pub struct RequestRow {
    /// Number of requests that arrived.
    pub arrived: u64,
    /// Number of generations with a first token and of plain calls with a response.
    pub started: u64,
    /// Number of requests with a complete and correct answer.
    pub good: u64,
    /// Number of requests whose caller disconnected early, as planned.
    pub left: u64,
    /// Number of refused requests.
    pub refused: u64,
    /// Number of requests whose stream ended with an error event.
    pub failed: u64,
    /// Number of requests whose connection failed.
    pub broken: u64,
    /// Number of requests that were abandoned after the timeout.
    pub timed_out: u64,
    /// Number of attempts after the first of each request.
    pub resent: u64,
    /// Time to the first token.
    pub first_ms: Quantiles,
    /// Time between tokens, without slow readers.
    pub between_ms: Quantiles,
    /// Time to the complete and correct answer, without slow readers.
    pub whole_ms: Quantiles,
    /// Total stall time in seconds, without slow readers.
    pub stall_s: f64,
    /// Number of streams with any stall time, without slow readers.
    pub stalled: u64,
}

/// Distribution of a latency in milliseconds.
#[derive(Debug, Serialize)]
pub struct Quantiles {
    /// Number of values.
    pub count: u64,
    pub mean: f64,
    /// Median.
    pub p50: f64,
    /// 90th percentile.
    pub p90: f64,
    /// 95th percentile.
    pub p95: f64,
    /// 99th percentile.
    pub p99: f64,
    /// 99.9th percentile.
    pub p999: f64,
    pub max: f64,
}

/// Figures of one organisation.
#[derive(Debug, Serialize)]
pub struct OrganisationRow {
    pub name: CompactString,
    /// Number of requests that arrived.
    pub arrived: u64,
    /// Number of requests that were served.
    pub served: u64,
    /// Number of requests that were refused.
    pub refused: u64,
    /// Number of tokens that the callers intended to read.
    pub demanded_tokens: u64,
    /// Number of demanded tokens that were received in served requests.
    pub served_tokens: u64,
}

/// Latency curves as pairs of a quantile and a time in milliseconds.
#[derive(Debug, Serialize)]
pub struct Curves {
    /// Time to the first token.
    pub first: Vec<(f64, f64)>,
    /// Time between tokens.
    pub between: Vec<(f64, f64)>,
    /// Time to the complete and correct answer.
    pub whole: Vec<(f64, f64)>,
}

/// Figures of one second of the run.
#[derive(Debug, Serialize)]
pub struct SecondRow {
    /// Number of tokens that arrived.
    pub tokens: u64,
    /// Number of requests that were refused, by the second in which they ended.
    pub refused: u64,
    /// Number of requests that ended with an error event, a failed connection or a timeout.
    pub lost: u64,
}

impl Report {
    /// Builds the report and verifies the answers against the records.
    pub fn new(config: &Config, totals: &Totals, records: &Records) -> Self {
        let mut violations_found = totals.violations.clone();
        let from_records = records.check(totals).into_iter();
        // A repeated execution that both the response and the record show is a single violation.
        let additional = from_records.filter(|violation| !is_listed(violation, &totals.violations));
        violations_found.extend(additional);
        let mut violations = BTreeMap::new();
        for violation in &violations_found {
            *violations.entry(violation.kind).or_default() += 1;
        }
        violations_found.truncate(MAX_LISTED_VIOLATIONS);
        let duration = config.duration.as_secs_f64();
        let generations = &totals.generations;
        Self {
            workload: config.workload,
            seed: config.seed,
            rate: config.rate,
            duration_s: duration,
            elapsed_s: totals.elapsed().as_secs_f64(),
            goodput_tokens_per_s: totals.good_tokens as f64 / duration,
            goodput_answers_per_s: totals.good_answers as f64 / duration,
            tokens: totals.tokens,
            jain: fairness(totals),
            preemptions_usage: totals.preemptions,
            preemptions_recorded: records.available.0.then_some(records.preemptions),
            generations: RequestRow::new(generations),
            kinds: totals
                .kinds
                .iter()
                .map(|(kind, stats)| (kind.name(), RequestRow::new(stats)))
                .collect(),
            refusals: totals.refusals.clone(),
            violations,
            violation_list: violations_found,
            organisations: organisations(config, totals),
            lateness_ms: Quantiles::new(&totals.lateness_us),
            curves: Curves {
                first: curve(&generations.first_token_us),
                between: curve(&generations.between_tokens_us),
                whole: curve(&generations.whole_answer_us),
            },
            seconds: totals.seconds.iter().map(SecondRow::new).collect(),
        }
    }

    /// Total number of violations, including those that are not violations_found.
    pub fn violations(&self) -> u64 {
        self.violations.values().sum()
    }
}

impl RequestRow {
    fn new(stats: &RequestStats) -> Self {
        Self {
            arrived: stats.arrived,
            started: stats.started,
            good: stats.good,
            left: stats.left,
            refused: stats.refused,
            failed: stats.failed,
            broken: stats.broken,
            timed_out: stats.timed_out,
            resent: stats.resent,
            first_ms: Quantiles::new(&stats.first_token_us),
            between_ms: Quantiles::new(&stats.between_tokens_us),
            whole_ms: Quantiles::new(&stats.whole_answer_us),
            stall_s: stats.stall.as_secs_f64(),
            stalled: stats.stalled,
        }
    }
}

impl Quantiles {
    fn new(histogram: &Histogram<u64>) -> Self {
        let at = |quantile| milliseconds(histogram.value_at_quantile(quantile));
        Self {
            count: histogram.len(),
            mean: histogram.mean() / 1000.0,
            p50: at(0.5),
            p90: at(0.9),
            p95: at(0.95),
            p99: at(0.99),
            p999: at(0.999),
            max: milliseconds(histogram.max()),
        }
    }
}

impl SecondRow {
    fn new(second: &SecondStats) -> Self {
        Self {
            tokens: second.tokens,
            refused: second.refused,
            lost: second.lost,
        }
    }
}

fn is_listed(violation: &Violation, violations: &[Violation]) -> bool {
    violations
        .iter()
        .any(|other| other.kind == violation.kind && other.request == violation.request)
}

fn milliseconds(microseconds: u64) -> f64 {
    microseconds as f64 / 1000.0
}

fn curve(histogram: &Histogram<u64>) -> Vec<(f64, f64)> {
    if histogram.is_empty() {
        return Vec::new();
    }
    (0..=CURVE_STEPS_PER_DECADE * CURVE_DECADES)
        .map(|step| 1.0 - 10_f64.powf(-f64::from(step) / f64::from(CURVE_STEPS_PER_DECADE)))
        .map(|quantile| {
            (
                quantile,
                milliseconds(histogram.value_at_quantile(quantile)),
            )
        })
        .collect()
}

fn fairness(totals: &Totals) -> f64 {
    let shares: Vec<f64> = totals
        .organisations
        .iter()
        .filter(|stats| stats.demanded > 0)
        .map(|stats| stats.tokens as f64 / stats.demanded as f64)
        .collect();
    jain_index(&shares)
}

fn organisations(config: &Config, totals: &Totals) -> Vec<OrganisationRow> {
    config
        .organisations
        .iter()
        .zip(&totals.organisations)
        .map(|(organisation, stats)| OrganisationRow {
            name: organisation.name.clone(),
            arrived: stats.arrived,
            served: stats.served,
            refused: stats.refused,
            demanded_tokens: stats.demanded,
            served_tokens: stats.tokens,
        })
        .collect()
}

impl Display for Report {
    fn fmt(&self, out: &mut Formatter<'_>) -> fmt::Result {
        writeln!(
            out,
            "{:?}, seed {}, {} requests/s for {:.1} s, ended after {:.1} s",
            self.workload, self.seed, self.rate, self.duration_s, self.elapsed_s
        )?;
        writeln!(
            out,
            "goodput {:.1} tokens/s and {:.2} answers/s, Jain {:.4}",
            self.goodput_tokens_per_s, self.goodput_answers_per_s, self.jain
        )?;
        writeln!(
            out,
            "stall time {:.3} s in {} of {} started streams",
            self.generations.stall_s, self.generations.stalled, self.generations.started
        )?;
        write!(out, "preemptions {} by usage", self.preemptions_usage)?;
        match self.preemptions_recorded {
            Some(recorded) => writeln!(out, ", {recorded} recorded by the engines")?,
            None => writeln!(out)?,
        }
        self.write_counts(out)?;
        self.write_latencies(out)?;
        self.write_organisations(out)?;
        self.write_errors(out)
    }
}

impl Report {
    fn write_counts(&self, out: &mut Formatter<'_>) -> fmt::Result {
        writeln!(
            out,
            "\n{:<12}{:>9}{:>9}{:>9}{:>9}{:>9}{:>9}{:>9}{:>9}{:>9}",
            "kind",
            "arrived",
            "started",
            "good",
            "left",
            "refused",
            "failed",
            "broken",
            "given up",
            "resent"
        )?;
        for (name, row) in &self.kinds {
            writeln!(
                out,
                "{name:<12}{:>9}{:>9}{:>9}{:>9}{:>9}{:>9}{:>9}{:>9}{:>9}",
                row.arrived,
                row.started,
                row.good,
                row.left,
                row.refused,
                row.failed,
                row.broken,
                row.timed_out,
                row.resent
            )?;
        }
        Ok(())
    }

    fn write_latencies(&self, out: &mut Formatter<'_>) -> fmt::Result {
        writeln!(
            out,
            "\n{:<26}{:>9}{:>11}{:>11}{:>11}{:>11}{:>11}{:>11}",
            "latency in ms", "count", "mean", "p50", "p95", "p99", "p99.9", "max"
        )?;
        let generations = &self.generations;
        write_quantiles(out, "first token", &generations.first_ms)?;
        write_quantiles(out, "between tokens", &generations.between_ms)?;
        write_quantiles(out, "whole generation", &generations.whole_ms)?;
        for (name, row) in &self.kinds {
            if row.first_ms.count > 0 {
                write_quantiles(out, &format!("{name}, first token"), &row.first_ms)?;
            }
            write_quantiles(out, &format!("{name}, whole"), &row.whole_ms)?;
        }
        write_quantiles(out, "lateness of the load tool", &self.lateness_ms)
    }

    fn write_organisations(&self, out: &mut Formatter<'_>) -> fmt::Result {
        writeln!(
            out,
            "\n{:<18}{:>9}{:>9}{:>9}{:>12}{:>12}",
            "organisation", "arrived", "served", "refused", "demanded", "tokens"
        )?;
        for row in &self.organisations {
            writeln!(
                out,
                "{:<18}{:>9}{:>9}{:>9}{:>12}{:>12}",
                row.name,
                row.arrived,
                row.served,
                row.refused,
                row.demanded_tokens,
                row.served_tokens
            )?;
        }
        Ok(())
    }

    fn write_errors(&self, out: &mut Formatter<'_>) -> fmt::Result {
        if !self.refusals.is_empty() {
            writeln!(out, "\nrefusals and errors")?;
        }
        for (name, count) in &self.refusals {
            writeln!(out, "{count:>9}  {name}")?;
        }
        writeln!(out, "\nviolations {}", self.violations())?;
        for (kind, count) in &self.violations {
            writeln!(out, "{count:>9}  {kind:?}")?;
        }
        for violation in &self.violation_list {
            writeln!(
                out,
                "{:?} {}: {}",
                violation.kind, violation.request, violation.detail
            )?;
        }
        Ok(())
    }
}

fn write_quantiles(out: &mut Formatter<'_>, name: &str, quantiles: &Quantiles) -> fmt::Result {
    writeln!(
        out,
        "{name:<26}{:>9}{:>11.2}{:>11.2}{:>11.2}{:>11.2}{:>11.2}{:>11.2}",
        quantiles.count,
        quantiles.mean,
        quantiles.p50,
        quantiles.p95,
        quantiles.p99,
        quantiles.p999,
        quantiles.max
    )
}
