//! Streams: each token once, in order, from one generation and of the caller's own prompt.

use {
    super::Violation,
    crate::history::{Delivery, End, History, Part},
    std::collections::{BTreeMap, BTreeSet},
};

/// Everything that is wrong with the streams of a history.
pub fn violations(history: &History) -> Vec<Violation> {
    let mut ran: BTreeMap<&str, BTreeSet<&str>> = BTreeMap::new();
    for generation in &history.generations {
        ran.entry(&generation.request)
            .or_default()
            .insert(&generation.id);
    }
    let mut found = Vec::new();
    for delivery in &history.deliveries {
        found.extend(tokens(delivery));
        found.extend(end(delivery));
        for part in &delivery.parts {
            if is_false_not_run(part, &ran) {
                found.push(Violation::FalseNotRun(describe(delivery)));
            }
            if is_silenced(part, history) {
                found.push(Violation::Silenced(describe(delivery)));
            }
        }
    }
    found.extend(work_after_stop(history));
    found
}

fn work_after_stop(history: &History) -> impl Iterator<Item = Violation> {
    let pairs = history.generations.iter().flat_map(|generation| {
        let stops = history.drained.iter().filter(|stop| {
            stop.engine == generation.engine
                && generation.started_ms > stop.from_ms
                && generation.started_ms < stop.until_ms
        });
        stops.map(move |stop| (generation, stop))
    });
    pairs.map(|(generation, stop)| Violation::WorkAfterStop(format!("{generation:?} {stop:?}")))
}

/// The first token that breaks the order, if any.
fn tokens(delivery: &Delivery) -> Option<Violation> {
    let mut generation = None;
    let texts = delivery.parts.iter().flat_map(|part| &part.tokens);
    for (index, text) in texts.enumerate() {
        let fields: Vec<&str> = text.trim_end().split('.').collect();
        let [fingerprint, position, mark] = fields[..] else {
            return Some(Violation::Crossed(describe(delivery)));
        };
        if fingerprint != delivery.fingerprint {
            return Some(Violation::Crossed(describe(delivery)));
        }
        if *generation.get_or_insert(mark) != mark {
            return Some(Violation::Spliced(describe(delivery)));
        }
        if position.parse() != Ok(index) {
            return Some(Violation::OutOfOrder(describe(delivery)));
        }
    }
    None
}

fn end(delivery: &Delivery) -> Option<Violation> {
    let count: usize = delivery.parts.iter().map(|part| part.tokens.len()).sum();
    let done = delivery.parts.iter().any(|part| part.end == End::Done);
    (done && count != delivery.tokens).then(|| Violation::Truncated(describe(delivery)))
}

fn is_false_not_run(part: &Part, ran: &BTreeMap<&str, BTreeSet<&str>>) -> bool {
    matches!(part.end, End::Refused { not_run: true, .. }) && ran.contains_key(&*part.request)
}

/// Whether a stream broke off although its host's process was not killed meanwhile.
fn is_silenced(part: &Part, history: &History) -> bool {
    let killed = history.outages.iter().any(|outage| {
        outage.host == part.host
            && outage.span.begin <= part.span.end
            && outage.span.end >= part.span.begin
    });
    part.end == End::Closed && !killed
}

fn describe(delivery: &Delivery) -> String {
    let parts = delivery.parts.iter().map(|part| {
        let [first, last] = [part.tokens.first(), part.tokens.last()];
        format!(
            "{} on host {} at {:?}: {} tokens from {first:?} to {last:?}, {:?}",
            part.request,
            part.host,
            part.span,
            part.tokens.len(),
            part.end
        )
    });
    let parts: Vec<String> = parts.collect();
    format!(
        "{} of {} tokens: {}",
        delivery.fingerprint,
        delivery.tokens,
        parts.join("; ")
    )
}
