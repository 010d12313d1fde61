use {
    sardineload::{
        check::ViolationKind,
        config::{Config, Organisation},
        measure::{ExecutionStatus, TokenTimings, Totals, jain_index},
        plan::{Plan, ReadMode},
        verify::Records,
        workload::{RequestKind, Workload},
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

/// Guards against a stall time that includes gaps below the threshold, or that omits the wait for a
/// token that never arrived.
#[test]
fn stall_counts_beyond_the_threshold() {
    let start = Instant::now();
    let at = |milliseconds| start + Duration::from_millis(milliseconds);
    let mut timings = TokenTimings::default();
    for arrival in [1_000, 1_100, 1_350, 1_700] {
        timings.record_tokens(1, at(arrival));
    }
    assert_eq!(timings.stall, Duration::from_millis(100));
    timings.end_early(at(2_700));
    assert_eq!(timings.stall, Duration::from_millis(850));
    let mut unstarted = TokenTimings::default();
    unstarted.end_early(at(9_000));
    assert_eq!(
        unstarted.stall,
        Duration::ZERO,
        "only started streams may stall"
    );
}

/// Guards against losing the gaps between tokens that arrive together.
#[test]
fn tokens_of_one_chunk_have_no_gap() {
    let mut timings = TokenTimings::default();
    timings.record_tokens(3, Instant::now());
    assert_eq!(timings.gaps, [Duration::ZERO; 2]);
}

/// Guards against a fairness index that does not fall when one organisation gets everything.
#[test]
fn jain_spans_its_range() {
    assert!((jain_index(&[0.5, 0.5, 0.5]) - 1.0).abs() < 1e-9);
    assert!((jain_index(&[1.0, 0.0, 0.0, 0.0]) - 0.25).abs() < 1e-9);
}

/// Guards against runs that are not reproducible from their seed, and against shares and rates that
/// differ from the settings.
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
    let assert_near = |actual: f64, expected: f64| {
        assert!((actual - expected).abs() < 0.03, "{actual} {expected}")
    };
    assert_near(share(&|arrival| arrival.organisation == 0), 6.0 / 11.0);
    assert_near(share(&|arrival| arrival.kind == RequestKind::Plan), 0.25);
    assert_near(share(&|arrival| arrival.read_mode == ReadMode::Slow), 0.08);
}

/// Guards against ignoring the share of plain calls, in particular 0, which runs without a service
/// need.
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

/// Guards against missing a violation of G3 or G4 that the records show, and against reporting one
/// where callers were told the truth.
#[test]
fn records_are_checked_against_answers() {
    let records = Records {
        engine_requests: ["ran".into()].into(),
        service_runs: [("once".into(), 1), ("twice".into(), 2)].into(),
        available: (true, true),
        ..Records::default()
    };
    let mut totals = Totals::new(1, Instant::now(), Duration::ZERO);
    let cases = [
        (
            "ran",
            RequestKind::Plan,
            ExecutionStatus::NotRun,
            Some(ViolationKind::RefusedButRan),
        ),
        ("other", RequestKind::Plan, ExecutionStatus::NotRun, None),
        (
            "once",
            RequestKind::Order,
            ExecutionStatus::NotRun,
            Some(ViolationKind::RefusedButRan),
        ),
        ("once", RequestKind::Order, ExecutionStatus::Ran, None),
        ("once", RequestKind::Order, ExecutionStatus::Unknown, None),
        (
            "twice",
            RequestKind::Order,
            ExecutionStatus::Unknown,
            Some(ViolationKind::RanTwice),
        ),
        (
            "never",
            RequestKind::Claim,
            ExecutionStatus::Ran,
            Some(ViolationKind::AcknowledgedNotRun),
        ),
        ("never", RequestKind::Claim, ExecutionStatus::Unknown, None),
    ];
    for (id, kind, execution, expected) in cases {
        totals.to_verify = vec![(id.into(), kind, execution)];
        let violation = records
            .check(&totals)
            .first()
            .map(|violation| violation.kind);
        assert_eq!(violation, expected, "{id} {execution:?}");
    }
}
