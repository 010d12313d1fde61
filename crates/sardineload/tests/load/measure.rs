use {
    sardineload::{
        check::Kind as Breach,
        config::{Config, Organisation},
        measure::{Knowledge, Pace, Totals, jain},
        plan::{Plan, Reading},
        verify::Records,
        workload::{Kind, Workload},
    },
    std::time::{Duration, Instant},
};

pub fn config(workload: Workload) -> Config {
    Config {
        servers: Vec::new(),
        plain_servers: Vec::new(),
        engines: Vec::new(),
        services: Vec::new(),
        workload,
        model: "bend-planner".into(),
        rate: 100.0,
        duration: Duration::from_secs(60),
        timeout: Duration::from_secs(60),
        seed: 5,
        organisations: ["a", "b", "c"]
            .map(|name| Organisation {
                name: name.into(),
                key: None,
            })
            .to_vec(),
        skew: 1.0,
        leave_share: 0.1,
        slow_share: 0.1,
        slow_pause: Duration::from_millis(1),
        plain_share: None,
        json: None,
        svg: None,
        threads: 1,
    }
}

/// Guards against a stall time that counts ordinary gaps, or that forgets the wait for a token
/// which never came.
#[test]
fn stall_counts_beyond_the_threshold() {
    let start = Instant::now();
    let at = |milliseconds| start + Duration::from_millis(milliseconds);
    let mut pace = Pace::default();
    for arrival in [1_000, 1_100, 1_350, 1_700] {
        pace.arrive(1, at(arrival));
    }
    assert_eq!(pace.stall, Duration::from_millis(100));
    pace.give_up(at(2_700));
    assert_eq!(pace.stall, Duration::from_millis(850));
    let mut unstarted = Pace::default();
    unstarted.give_up(at(9_000));
    assert_eq!(
        unstarted.stall,
        Duration::ZERO,
        "only started streams stall"
    );
}

/// Guards against tokens that arrive together being counted as fewer gaps.
#[test]
fn tokens_of_one_chunk_have_no_gap() {
    let mut pace = Pace::default();
    pace.arrive(3, Instant::now());
    assert_eq!(pace.gaps, [Duration::ZERO; 2]);
}

/// Guards against a fairness figure that doesn't fall when one organisation gets everything.
#[test]
fn jain_spans_its_range() {
    assert!((jain(&[0.5, 0.5, 0.5]) - 1.0).abs() < 1e-9);
    assert!((jain(&[1.0, 0.0, 0.0, 0.0]) - 0.25).abs() < 1e-9);
}

/// Guards against runs that can't be repeated from their seed, and against shares and rates that
/// differ from what was asked for.
#[test]
fn plan_follows_seed_rate_and_shares() {
    let brakeline = config(Workload::Brakeline);
    let plan: Vec<_> = Plan::new(&brakeline).collect();
    assert_eq!(plan, Plan::new(&brakeline).collect::<Vec<_>>());
    let other = Config {
        seed: 6,
        ..brakeline.clone()
    };
    assert_ne!(plan, Plan::new(&other).collect::<Vec<_>>());
    assert!((5_500..6_500).contains(&plan.len()), "{}", plan.len());
    assert!(plan.is_sorted_by_key(|arrival| arrival.at));
    let share = |test: &dyn Fn(&sardineload::plan::Arrival) -> bool| {
        plan.iter().filter(|arrival| test(arrival)).count() as f64 / plan.len() as f64
    };
    let near = |found: f64, wanted: f64| assert!((found - wanted).abs() < 0.03, "{found} {wanted}");
    near(share(&|arrival| arrival.organisation == 0), 6.0 / 11.0);
    near(share(&|arrival| arrival.kind == Kind::Plan), 0.25);
    near(share(&|arrival| arrival.reading == Reading::Slow), 0.08);
}

/// Guards against a plain share that is ignored, above all 0, which runs without a service need.
#[test]
fn plain_share_is_applied() {
    for (share, expected) in [(0.0, 0), (1.0, 1)] {
        let config = Config {
            plain_share: Some(share),
            duration: Duration::from_secs(2),
            ..config(Workload::Harakeke)
        };
        assert!(Plan::new(&config).all(|arrival| u8::from(arrival.kind.is_plain()) == expected));
    }
}

/// Guards against records that show a breach of G3 or G4 which goes unreported, and against
/// reports where callers were told the truth.
#[test]
fn records_are_checked_against_answers() {
    let records = Records {
        requests: ["ran".into()].into(),
        runs: [("once".into(), 1), ("twice".into(), 2)].into(),
        read: (true, true),
        ..Records::default()
    };
    let mut totals = Totals::new(1, Instant::now(), Duration::ZERO);
    let cases = [
        (
            "ran",
            Kind::Plan,
            Knowledge::NotRun,
            Some(Breach::RefusedButRan),
        ),
        ("other", Kind::Plan, Knowledge::NotRun, None),
        (
            "once",
            Kind::Order,
            Knowledge::NotRun,
            Some(Breach::RefusedButRan),
        ),
        ("once", Kind::Order, Knowledge::Ran, None),
        ("once", Kind::Order, Knowledge::Unknown, None),
        (
            "twice",
            Kind::Order,
            Knowledge::Unknown,
            Some(Breach::RanTwice),
        ),
        (
            "never",
            Kind::Claim,
            Knowledge::Ran,
            Some(Breach::AcknowledgedNotRun),
        ),
        ("never", Kind::Claim, Knowledge::Unknown, None),
    ];
    for (id, kind, knowledge, expected) in cases {
        totals.known = vec![(id.into(), kind, knowledge)];
        let found = records.check(&totals).first().map(|found| found.kind);
        assert_eq!(found, expected, "{id} {knowledge:?}");
    }
}
