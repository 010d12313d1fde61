use {
    rand::{Rng, SeedableRng, rngs::StdRng},
    rstest::rstest,
    sardinerelay_standin::batch::{Batch, Limits},
    std::collections::HashMap,
    uuid::Uuid,
};

/// Guards against a batch that exceeds its memory, loses a sequence on preemption, or generates a
/// token index twice or out of order.
#[rstest]
fn memory_is_never_exceeded(#[values(1, 2, 3, 4)] seed: u64) {
    let mut random = StdRng::seed_from_u64(seed);
    let memory_tokens = 600;
    let mut batch = Batch::new(Limits {
        memory_tokens,
        max_running: 12,
        prefill_tokens_per_step: 64,
    });
    let mut next = HashMap::new();
    let mut finished = 0;
    for step in 0..200_000 {
        if step < 2_000 && random.random_bool(0.2) {
            let id = Uuid::from_u128(random.random());
            let (prompt, target) = (random.random_range(1..200), random.random_range(1..400));
            let cached = random.random_range(0..=prompt);
            assert!(batch.add(id, random.random_range(0..3), prompt, cached, target));
            next.insert(id, (0, target));
        }
        let output = batch.step();
        assert!(
            batch.used_tokens() <= memory_tokens,
            "seed {seed} step {step}"
        );
        for (id, index) in output.tokens {
            let entry = next.get_mut(&id).expect("known sequence");
            assert_eq!(entry.0, index, "seed {seed} step {step}");
            entry.0 += 1;
        }
        for id in output.finished {
            assert_eq!(next[&id].0, next[&id].1);
            finished += 1;
        }
    }
    assert!(batch.preemptions > 0, "the load must cause preemptions");
    assert_eq!(
        finished,
        next.len(),
        "seed {seed}: every sequence must complete"
    );
}

/// Guards against a sequence that can never fit into the memory and blocks the waiting ones
/// forever.
#[test]
fn oversized_sequence_is_refused() {
    let mut batch = Batch::new(Limits {
        memory_tokens: 100,
        max_running: 4,
        prefill_tokens_per_step: 64,
    });
    assert!(!batch.add(Uuid::nil(), 0, 60, 0, 41));
    assert!(batch.add(Uuid::nil(), 0, 60, 0, 40));
}
