//! Measures what permits for limited targets and fingerprints of requests cost, for
//! `docs/CAPACITY.md`.

use {
    http::{Method, Uri},
    sardinerelay::id::Organisation,
    sardinerelay_gateway::{
        allocator::Scope,
        fingerprint,
        limit::{
            Rate,
            permit::{Known, Published, Reply, Request},
        },
        observations::{Instance, Observations},
        targets::Targets,
    },
    std::{
        hint::black_box,
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// Numbers of targets, all of them limited.
const TARGETS: [usize; 3] = [120, 1_200, 12_000];
/// Number of decisions that are measured for each number of targets.
const DECISIONS: u32 = 200_000;
/// Sizes of bodies that are hashed, in bytes.
const BODIES: [usize; 3] = [800, 8 << 10, 4 << 20];

fn known(number: usize) -> Known {
    Known {
        target: format!("i-{number:010x}").into(),
        incarnation: 1,
        rate: Rate::per_second(8.0),
    }
}

fn targets(count: usize, now: Instant) -> Targets {
    let instances = (0..count).map(|number| Instance {
        target: known(number).target,
        incarnation: 1,
        service: "shop".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 8000)),
        zone: "a".into(),
        slots: 6,
        leaving: false,
        cold_ms: 0,
        build: "v1".into(),
    });
    let observations = Observations {
        stamp: 1,
        instances: instances.collect(),
        ..Observations::default()
    };
    let mut targets = Targets::default();
    targets.merge(&observations, now);
    targets
}

fn request(first: usize, count: usize) -> Request {
    Request {
        targets: (0..3).map(|next| known((first + next) % count)).collect(),
        max_wait: Duration::ZERO,
        cold: Vec::new(),
    }
}

fn measure_decisions(count: usize) {
    let now = Instant::now();
    let mut targets = targets(count, now);
    let requests: Vec<Request> = (0..count).map(|first| request(first, count)).collect();
    let began = Instant::now();
    let mut granted = 0_u32;
    for (number, request) in (0..DECISIONS).zip(requests.iter().cycle()) {
        let at = now + Duration::from_micros(u64::from(number) * 50);
        let reply = targets.grant(request, Scope::Group, at);
        granted += u32::from(matches!(reply, Reply::Granted(..)));
    }
    let nanoseconds = began.elapsed().as_nanos() / u128::from(DECISIONS);
    let began = Instant::now();
    let published = targets.published_limits(now);
    let collecting = began.elapsed();
    let bytes = postcard::to_stdvec(&published).map_or(0, |bytes| bytes.len());
    println!(
        "{count} limited targets: {nanoseconds} ns a decision, {granted} of {DECISIONS} granted; \
         published limits: {bytes} B, collected in {collecting:?}"
    );
}

fn measure_messages() {
    let published = Published {
        known: known(7),
        age: Duration::from_secs(3),
    };
    let size = |bytes: postcard::Result<Vec<u8>>| bytes.map_or(0, |bytes| bytes.len());
    println!(
        "a request for a permit with 3 targets: {} B, a reply {} B, a published limit {} B",
        size(postcard::to_stdvec(&request(0, 9))),
        size(postcard::to_stdvec(&Reply::Granted(0, Duration::ZERO))),
        size(postcard::to_stdvec(&published)),
    );
}

fn measure_fingerprints() {
    let (uri, organisation) = (Uri::from_static("/order/1"), Organisation::from("o"));
    for bytes in BODIES {
        let body = vec![b'x'; bytes];
        let rounds = (64 << 20) / bytes;
        let began = Instant::now();
        for _ in 0..rounds {
            let line = (&Method::POST, "h.example", &uri);
            black_box(fingerprint::of(line, Some(&organisation), black_box(&body)));
        }
        let took = began.elapsed() / rounds as u32;
        println!("fingerprint of a body of {bytes} B: {took:?}");
    }
}

fn main() {
    measure_messages();
    TARGETS.into_iter().for_each(measure_decisions);
    measure_fingerprints();
}
