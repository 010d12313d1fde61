//! Tests of the estimate of the remaining output length.

use {
    rand::{Rng, SeedableRng, rngs::StdRng},
    rstest::rstest,
    sardinerelay::length::{Estimator, Key, MAX_OUTPUT_TOKENS, Output, Settings},
};

fn key(organisation: u64, model: u64, class: &str) -> Key {
    Key {
        organisation: format!("organisation-{organisation}").into(),
        model: format!("model-{model}").into(),
        class: class.into(),
    }
}

/// Lengths of plans with 10 to 80 steps of about 40 tokens, and of short questions.
fn brakeline(rng: &mut StdRng) -> (Key, u64) {
    let organisation = rng.random_range(0..10);
    if rng.random_bool(0.25) {
        let steps = rng.random_range(10..=80);
        let length = (0..steps).map(|_| rng.random_range(30..=50)).sum();
        return (key(organisation, 0, "plan"), length);
    }
    (key(organisation, 0, "question"), rng.random_range(20..=80))
}

/// Lengths of drafts with a Pareto tail, and of short answers to sorting requests.
fn harakeke(rng: &mut StdRng) -> (Key, u64) {
    let organisation = rng.random_range(0..10);
    if rng.random_bool(0.4) {
        return (key(organisation, 0, "sorting"), rng.random_range(5..=20));
    }
    let length = if rng.random_bool(0.05) {
        (600.0 * rng.random::<f64>().max(1e-9).powf(-1.0 / 1.2)) as u64
    } else {
        rng.random_range(100..=600)
    };
    (key(organisation, 0, "draft"), length.min(60_000))
}

/// Guards against a quantile that doesn't cover its share of the outputs, both at the start of an
/// output and after part of it.
#[rstest]
#[case::brakeline(brakeline)]
#[case::harakeke(harakeke)]
fn quantile_covers(#[case] mix: fn(&mut StdRng) -> (Key, u64), #[values(1, 2, 3)] seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut estimator = Estimator::default();
    let mut covered = [0_u32; 3];
    let mut asked = [0_u32; 3];
    for round in 0..20_000 {
        let (key, length) = mix(&mut rng);
        if round >= 2_000 {
            for (at, generated) in [0, 30, 300].into_iter().enumerate() {
                if length > generated {
                    asked[at] += 1;
                    let bound = generated + estimator.quantile(&key, generated, 0.9);
                    covered[at] += u32::from(length <= bound);
                }
            }
        }
        estimator.observe(&key, Output::Complete(length));
    }
    for (covered, asked) in covered.into_iter().zip(asked) {
        let share = f64::from(covered) / f64::from(asked);
        println!("seed {seed}: {covered} of {asked} covered, {share:.3}");
        assert!((0.86..=0.95).contains(&share));
    }
}

/// Guards against cancelled outputs that bias the estimate towards short outputs.
#[rstest]
fn censored_outputs_do_not_bias_the_estimate() {
    let mut rng = StdRng::seed_from_u64(4);
    let mut censored = Estimator::default();
    let mut naive = Estimator::default();
    let key = key(0, 0, "plan");
    for _ in 0..5_000 {
        let length = rng.random_range(400..=3_200);
        let patience = rng.random_range(1..=6_400);
        let output = if patience < length {
            Output::Censored(patience)
        } else {
            Output::Complete(length)
        };
        censored.observe(&key, output);
        naive.observe(&key, Output::Complete(length.min(patience)));
    }
    let right = censored.quantile(&key, 0, 0.5);
    println!(
        "median {right} with and {} without censoring",
        naive.quantile(&key, 0, 0.5)
    );
    assert!((1_600..=2_000).contains(&right));
    assert!(naive.quantile(&key, 0, 0.5) < 1_600);
    assert!((1_600.0..=2_000.0).contains(&censored.mean(&key, 0)));
}

/// Guards against an estimate from the prior for a new organisation although there are observations
/// of its class.
#[rstest]
fn unknown_organisation_falls_back_to_the_class() {
    let mut estimator = Estimator::default();
    for round in 0..500 {
        estimator.observe(
            &key(round % 5, 0, "sorting"),
            Output::Complete(10 + round % 7),
        );
    }
    let bound = estimator.quantile(&key(99, 0, "sorting"), 0, 0.9);
    assert!((10..=25).contains(&bound), "{bound}");
}

/// Guards against memory that grows with the number of organisations and models.
#[rstest]
#[case::small(64)]
#[case::size_for_two_years(Settings::default().max_cells)]
fn memory_is_bounded(#[case] max_cells: usize) {
    let mut estimator = Estimator::new(Settings {
        max_cells,
        ..Settings::default()
    });
    for organisation in 0..760 {
        for model in 0..14 {
            for class in ["plan", "question"] {
                estimator.observe(&key(organisation, model, class), Output::Complete(100));
            }
        }
    }
    println!(
        "{} cells, {} bytes",
        estimator.cells(),
        estimator.memory_bytes()
    );
    assert!(estimator.cells() <= max_cells);
    assert!(estimator.memory_bytes() <= max_cells * 1_100 + 65_536);
    // Cells of coarse levels are observed all the time and therefore not evicted.
    assert!(estimator.quantile(&key(0, 0, "plan"), 0, 0.5) < 200);
}

/// Guards against estimates out of range, and against a higher quantile that is smaller.
#[rstest]
fn quantiles_are_ordered() {
    let mut rng = StdRng::seed_from_u64(5);
    let mut estimator = Estimator::default();
    for _ in 0..2_000 {
        let (key, length) = harakeke(&mut rng);
        estimator.observe(&key, Output::Complete(length));
        let generated = rng.random_range(0..2 * MAX_OUTPUT_TOKENS);
        let bounds = [0.1, 0.5, 0.9, 0.999].map(|q| estimator.quantile(&key, generated, q));
        assert!(bounds.is_sorted());
        assert!(bounds[0] >= 1);
        assert!(estimator.mean(&key, generated) >= 1.0);
        let survival = estimator.survival(&key, generated, &[0, 10, 100, 10_000]);
        assert_eq!(survival[0], 1.0);
        assert!(survival.is_sorted_by(|left, right| left >= right));
    }
}
