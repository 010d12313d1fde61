//! Measures what a placement costs by the number of engines, for `docs/CAPACITY.md`.

use {
    rand::{SeedableRng as _, rngs::StdRng},
    sardinerelay_gateway::{
        allocator::{Scope, claim},
        homes::Homes,
        observations::{Instance, Load, LoadReport, Observations},
        placement::{Need, choose},
        targets::Targets,
    },
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// Numbers of engines.
const ENGINES: [usize; 4] = [45, 100, 1_000, 12_000];
/// Number of placements that are measured for each number of engines.
const PLACEMENTS: u64 = 20_000;
/// Memory of one engine in tokens.
const MEMORY: u64 = 26_860;
/// Number of placed generations that run at the same time on each engine, on average.
const RUNNING: u64 = 8;

fn observations(count: usize) -> Observations {
    let instance = |number: usize| Instance {
        target: format!("i-{number:010x}").into(),
        incarnation: 1,
        service: "engines".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 8000)),
        zone: ["a", "b", "c", "d"][number % 4].into(),
        slots: 24,
        leaving: false,
        cold_ms: 0,
        build: "v1".into(),
    };
    let load = |number: usize| LoadReport {
        target: instance(number).target,
        incarnation: 1,
        load: Load {
            used: (number as u64 * 7_919) % (MEMORY / 2),
            total: MEMORY,
            running: 2,
            ..Load::default()
        },
        age_ms: 500,
        closing_ms: None,
    };
    Observations {
        stamp: 1,
        instances: (0..count).map(instance).collect(),
        loads: (0..count).map(load).collect(),
        ..Observations::default()
    }
}

fn need(run: u64) -> Need {
    Need {
        service: "engines".into(),
        organisation: "o".into(),
        zone: "a".into(),
        engine_memory_tokens: MEMORY,
        prompt_tokens: 600,
        output_tokens: 300,
        priority: 1,
        shared_tokens: 300,
        wants_copy: false,
        shared_parts: vec![run % 50],
        build: None,
        homes: Homes::default(),
    }
}

fn measure(count: usize) {
    let mut targets = Targets::default();
    let now = Instant::now();
    let observed = observations(count);
    let began = Instant::now();
    targets.merge(&observed, now);
    let merging = began.elapsed();
    let mut rng = StdRng::seed_from_u64(1);
    let running = RUNNING * count as u64;
    let (mut placed, mut longest) = (0, Duration::ZERO);
    let began = Instant::now();
    for run in 0..PLACEMENTS {
        let decided = Instant::now();
        let need = need(run);
        if let Some(choice) = choose(&targets, &need, (Scope::Group, &[]), &mut rng, now) {
            claim(&mut targets, run, &need, &choice, now);
            targets.record_sent(&choice.target, run, need.prompt_tokens, now);
            placed += 1;
        }
        targets.record_prompt_read(run, now);
        if run >= running {
            targets.release_everywhere(run - running);
        }
        longest = longest.max(decided.elapsed());
    }
    let mean = began.elapsed() / PLACEMENTS as u32;
    println!(
        "{count} engines: {mean:?} a placement with its end, longest {longest:?}, \
         {placed} of {PLACEMENTS} placed; a list with all reports merged in {merging:?}"
    );
}

fn main() {
    ENGINES.into_iter().for_each(measure);
}
