//! What a run measured.

use {
    crate::{MEMORY_TOKENS, ORGANISATIONS, Run, TICK},
    sardinerelay::scheduler::Policy,
    std::collections::BTreeMap,
};

#[derive(Debug, Default)]
pub struct Summary {
    pub arrived: u64,
    pub refused: u64,
    pub refusals: BTreeMap<&'static str, u64>,
    pub lost: u64,
    pub complete: u64,
    pub goodput: u64,
    pub stall_ticks: u64,
    pub stream_ticks: u64,
    pub preemptions: u64,
    pub gaps: BTreeMap<u64, u64>,
    pub first_token: Vec<u64>,
    pub first_token_short: Vec<u64>,
    pub offered: [u64; ORGANISATIONS],
    pub served: [u64; ORGANISATIONS],
    pub used: f64,
    pub used_samples: u64,
    pub quantile: f64,
    pub calls: Vec<u32>,
}

impl Summary {
    pub fn print(mut self, run: &Run) {
        let name = match run.policy {
            Policy::Adaptive => format!("adaptive/{:?}", run.objective).to_lowercase(),
            policy => format!("{policy:?}").to_lowercase(),
        };
        let seconds = |ticks: u64| (TICK * ticks as u32).as_secs_f64();
        let gaps: Vec<String> = [0.5, 0.95, 0.99, 0.999]
            .map(|q| format!("{:.0}", seconds(self.gap(q)) * 1_000.0))
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
            100.0 * self.used / self.used_samples as f64 / MEMORY_TOKENS as f64,
            self.quantile,
        );
        self.calls.sort_unstable();
        let mean =
            self.calls.iter().map(|ns| f64::from(*ns)).sum::<f64>() / self.calls.len() as f64;
        eprintln!(
            "  refusals {:?}, calls {} arrived {} complete {}: mean {:.0} ns, p99 {} ns, p99.9 {} ns, max {} ns",
            self.refusals,
            self.calls.len(),
            self.arrived,
            self.complete,
            mean,
            at_quantile(&self.calls, 0.99),
            at_quantile(&self.calls, 0.999),
            self.calls.last().copied().unwrap_or(0),
        );
    }

    fn gap(&self, q: f64) -> u64 {
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

    /// Fairness of the served share of what each organisation asked for.
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
