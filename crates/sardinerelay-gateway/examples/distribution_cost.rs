//! Measures what it costs to bring a changed configuration to entry hosts, for
//! `docs/design/configuration.md`.

use {
    bytes::Bytes,
    rand::{Rng as _, SeedableRng as _, rngs::StdRng},
    sardinerelay_gateway::{
        distribution::{Download, History, MAX_PIECE_BYTES, Stamp},
        group::Document,
    },
    serde_json::json,
    std::time::{Duration, Instant},
};

/// Numbers of routes. With 15,000, the text is as long as an accepted one may be.
const ROUTES: [usize; 3] = [1_400, 5_600, 15_000];
/// Routes that one change adds.
const ADDED: usize = 1_400;
/// Changes of one route that a host misses.
const MISSED: u64 = 100;

fn document(version: u64, routes: usize, changed: Option<usize>) -> Document {
    let mut rng = StdRng::seed_from_u64(1);
    let routes = (0..routes).map(|number| {
        let is_changed = changed == Some(number);
        json!({
            "name": format!("r-{:07x}", rng.random_range(0..1 << 28)), "host": "h.example",
            "pathPrefix": format!("/{:08x}/", rng.random::<u32>()), "type": "unsafe",
            "timeoutMs": if is_changed { 1_000 + version } else { 800 }, "targetLatencyMs": 150,
            "priority": 2, "service": "shop", "maxAttempts": 1, "public": false, "sticky": false,
            "resumable": false,
        })
    });
    let routes: Vec<_> = routes.collect();
    Document {
        version,
        body: json!({ "version": version, "routes": routes })
            .to_string()
            .into(),
    }
}

/// Receives what leads from `held` to the newest configuration. Returns the number of bytes, the time to
/// encode it and the time to make the text out of it.
fn receive(history: &mut History, held: Option<&Document>) -> (usize, Duration, Duration) {
    let base = held.map(Stamp::of);
    let began = Instant::now();
    let mut encoding = None;
    let mut download = None;
    loop {
        let fetch = Download::request(download.as_ref(), base, MAX_PIECE_BYTES);
        let piece = history.piece(&fetch).expect("no error").expect("a piece");
        encoding.get_or_insert(began.elapsed());
        download = Download::add(download, piece);
        let received = download.as_ref().expect("a transfer");
        if received.is_complete() {
            let (total, began) = (received.total(), Instant::now());
            let text: Option<&Bytes> = held.map(|held| &held.body);
            received.finish(text).expect("a text");
            return (total, encoding.unwrap_or_default(), began.elapsed());
        }
    }
}

fn report(what: &str, (bytes, encoding, finishing): (usize, Duration, Duration)) {
    println!("  {what}: {bytes} B, encoded in {encoding:.1?}, applied in {finishing:.1?}");
}

fn main() {
    for routes in ROUTES {
        let old = document(1, routes, None);
        println!("{routes} routes, {} B of text", old.body.len());
        let mut history = History::default();
        history.push(&old);
        report("whole", receive(&mut history, None));
        let changed = document(2, routes, Some(routes / 2));
        let began = Instant::now();
        history.push(&changed);
        println!("  a patch is made in {:.1?}", began.elapsed());
        report("one route changed", receive(&mut history, Some(&old)));
        for version in 0..MISSED - 1 {
            history.push(&document(3 + version, routes, Some(routes / 2)));
        }
        report(
            "a hundred versions missed",
            receive(&mut history, Some(&old)),
        );
        let mut history = History::default();
        history.push(&old);
        history.push(&document(2, routes + ADDED, None));
        report("1,400 routes added", receive(&mut history, Some(&old)));
    }
}
