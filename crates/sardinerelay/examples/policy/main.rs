//! Measures the scheduling policies against each other in virtual time.
//!
//! Ten engines, nine schedulers with their own lagged view, open-loop seeded arrivals, and one
//! engine that dies midway. The figures are recorded in `docs/design/admission.md`.
//!
//! `policy [SECONDS] [SEED] [MIX] [LOAD]`, for example `policy 600 1 brakeline 120`. Left-out
//! arguments mean 600 seconds, seed 1, both mixes and loads of 60, 90 and 120 %.

mod summary;
mod traffic;
mod world;

use {
    self::{traffic::Mix, world::World},
    sardinerelay::{admission::Objective, scheduler::Policy},
    std::{env, time::Duration},
};

const ENGINES: usize = 10;
const ORGANISATIONS: usize = 10;
const MEMORY_TOKENS: u64 = 60_000;
/// Resolution of virtual time.
const TICK: Duration = Duration::from_millis(5);
/// Ticks of one decode iteration.
const STEP_TICKS: u64 = 4;

#[derive(Debug, Clone, Copy)]
struct Run {
    mix: Mix,
    load: f64,
    policy: Policy,
    objective: Objective,
    seconds: u64,
    seed: u64,
}

fn main() {
    let arguments: Vec<String> = env::args().skip(1).collect();
    let number = |at: usize, default: u64| {
        arguments
            .get(at)
            .and_then(|text| text.parse().ok())
            .unwrap_or(default)
    };
    let seconds = number(0, 600);
    let seed = number(1, 1);
    println!(
        "{:<9} {:>4} {:<17} {:>8} {:>7} {:>8} {:>21} {:>15} {:>15} {:>8} {:>8} {:>5} {:>5} {:>5} {:>5}",
        "mix",
        "load",
        "policy",
        "stall s",
        "stall %",
        "preempt",
        "gap p50/95/99/99.9 ms",
        "ttft p50/p99 s",
        "short p50/99",
        "goodput",
        "refused",
        "lost",
        "jain",
        "mem %",
        "q"
    );
    for mix in [Mix::Brakeline, Mix::Harakeke] {
        let name = format!("{mix:?}").to_lowercase();
        if arguments
            .get(2)
            .is_some_and(|wanted| *wanted != name && wanted != "both")
        {
            continue;
        }
        for percent in [60, 90, 120] {
            if arguments
                .get(3)
                .is_some_and(|wanted| wanted.parse() != Ok(percent))
            {
                continue;
            }
            for (policy, objective) in [
                (Policy::RoundRobin, Objective::Stall),
                (Policy::LeastInFlight, Objective::Stall),
                (Policy::Adaptive, Objective::Stall),
                (Policy::Adaptive, Objective::Preemption),
            ] {
                let run = Run {
                    mix,
                    load: f64::from(percent) / 100.0,
                    policy,
                    objective,
                    seconds,
                    seed,
                };
                World::new(run).play().print(&run);
            }
        }
    }
}
