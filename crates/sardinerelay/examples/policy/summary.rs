//! Results of one simulation.

use {
    crate::{MEMORY_TOKENS, ORGANISATIONS, Run, TICK},
    sardinerelay::scheduler::Policy,
    std::collections::BTreeMap,
};

/// Counts and latencies of one simulation.
#[derive(Debug, Default)]
pub struct Summary {
    pub arrived: u64,
    pub refused: u64,
    /// Refused requests by reason.
    pub refusals: BTreeMap<&'static str, u64>,
    /// Streams that broke off when the engine died.
    pub lost: u64,
    pub complete: u64,
    /// Tokens of complete streams.
    pub goodput: u64,
    pub stall_ticks: u64,
    /// Ticks between first and last token, summed over streams.
    pub stream_ticks: u64,
    pub preemptions: u64,
    /// Number of gaps between tokens by their length in ticks.
    pub gaps: BTreeMap<u64, u64>,
    /// Ticks to the first token of each stream.
    pub first_token: Vec<u64>,
    /// Ticks to the first token of each stream of priority 0.
    pub first_token_short: Vec<u64>,
    /// Tokens that each organisation asked for.
    pub offered: [u64; ORGANISATIONS],
    /// Tokens of each organisation's complete streams.
    pub served: [u64; ORGANISATIONS],
    /// Sum of the samples of an engine's memory in use.
    pub used_tokens: f64,
    pub used_samples: u64,
    /// Mean reservation quantile of all hosts at the end.
    pub quantile: f64,
    /// Real duration of each call of a scheduler, in nanoseconds.
    pub call_ns: Vec<u32>,
}

impl Summary {
    /// Prints one row of results to standard output and the durations of calls to standard error.
    pub fn print(mut self, run: &Run) {
        let name = match run.policy {
            Policy::Adaptive => format!("adaptive/{:?}", run.objective).to_lowercase(),
            policy => format!("{policy:?}").to_lowercase(),
        };
        let seconds = |ticks: u64| (TICK * ticks as u32).as_secs_f64();
        let gaps: Vec<String> = [0.5, 0.95, 0.99, 0.999]
            .map(|q| format!("{:.0}", seconds(self.gap_ticks(q)) * 1_000.0))
            .to_vec();
        let mut first = |values: fn(&mut Self) -> &mut Vec<u64>, q: f64| {
            let values = values(&mut self);
            values.sort_unstable();
            seconds(at_quantile(values, q))
        };
        let ttft = [
            first(|summary| &mut summary.first_token, 0.5),
            first(|summary| &mut summary.first_token, 0.99),
            first(|summary| &mut summary.first_token_short, 0.5),
            first(|summary| &mut summary.first_token_short, 0.99),
        ];
        println!(
            "{:<9} {:>4.0} {:<17} {:>8.1} {:>7.3} {:>8} {:>21} {:>15} {:>15} {:>8.0} {:>8} {:>5} {:>5.3} {:>5.1} {:>5.3}",
            format!("{:?}", run.mix).to_lowercase(),
            run.load * 100.0,
            name,
            seconds(self.stall_ticks),
            100.0 * self.stall_ticks as f64 / self.stream_ticks.max(1) as f64,
            self.preemptions,
            gaps.join("/"),
            format!("{:.2}/{:.2}", ttft[0], ttft[1]),
            format!("{:.2}/{:.2}", ttft[2], ttft[3]),
            self.goodput as f64 / run.seconds as f64,
            self.refused,
            self.lost,
            self.jain(),
            100.0 * self.used_tokens / self.used_samples as f64 / MEMORY_TOKENS as f64,
            self.quantile,
        );
        self.call_ns.sort_unstable();
        let mean =
            self.call_ns.iter().map(|ns| f64::from(*ns)).sum::<f64>() / self.call_ns.len() as f64;
        eprintln!(
            "  refusals {:?}, calls {} arrived {} complete {}: mean {:.0} ns, p99 {} ns, p99.9 {} ns, max {} ns",
            self.refusals,
            self.call_ns.len(),
            self.arrived,
            self.complete,
            mean,
            at_quantile(&self.call_ns, 0.99),
            at_quantile(&self.call_ns, 0.999),
            self.call_ns.last().copied().unwrap_or(0),
        );
    }

    /// Returns a quantile of the gaps between tokens, in ticks.
    fn gap_ticks(&self, q: f64) -> u64 {
        let all: u64 = self.gaps.values().sum();
        let mut seen = 0;
        self.gaps
            .iter()
            .find(|(_, count)| {
                seen += **count;
                seen as f64 >= q * all as f64
            })
            .map_or(0, |(gap, _)| *gap)
    }

    /// Returns Jain's fairness index over the share of its tokens that each organisation got.
    fn jain(&self) -> f64 {
        let shares: Vec<f64> = self
            .offered
            .iter()
            .zip(self.served)
            .filter(|(offered, _)| **offered > 0)
            .map(|(offered, served)| served as f64 / *offered as f64)
            .collect();
        let sum: f64 = shares.iter().sum();
        let squares: f64 = shares.iter().map(|share| share * share).sum();
        sum * sum / (shares.len() as f64 * squares)
    }
}

fn at_quantile<T>(sorted: &[T], q: f64) -> T
where
    T: Copy + Default,
{
    let at = (q * sorted.len() as f64) as usize;
    sorted
        .get(at.min(sorted.len().saturating_sub(1)))
        .copied()
        .unwrap_or_default()
}
