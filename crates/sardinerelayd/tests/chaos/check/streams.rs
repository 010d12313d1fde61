//! Checks streams: every token once, in order, from one generation and for the caller's prompt.
//! Also checks that stopped engines get no new work.

use {
    super::Violation,
    crate::history::{Connection, ConnectionEnd, History, Stream},
    std::collections::{BTreeMap, BTreeSet},
};

/// All violations in the streams of a history, and all new work on stopped engines.
pub fn violations(history: &History) -> Vec<Violation> {
    let mut generations_by_request: BTreeMap<&str, BTreeSet<&str>> = BTreeMap::new();
    for generation in &history.generations {
        generations_by_request
            .entry(&generation.request)
            .or_default()
            .insert(&generation.id);
    }
    let mut found = Vec::new();
    for stream in &history.streams {
        found.extend(token_violation(stream));
        found.extend(truncation(stream));
        for connection in &stream.connections {
            if is_refused_but_ran(connection, &generations_by_request) {
                found.push(Violation::RefusedButRan(describe(stream)));
            }
            if ended_silently(connection, history) {
                found.push(Violation::EndedSilently(describe(stream)));
            }
        }
    }
    found.extend(work_after_stop(history));
    found
}

/// Generations that an engine started after every host had confirmed its stop.
fn work_after_stop(history: &History) -> impl Iterator<Item = Violation> {
    let pairs = history.generations.iter().flat_map(|generation| {
        let stops = history.confirmed_stops.iter().filter(|stop| {
            stop.engine == generation.engine
                && generation.started_ms > stop.confirmed_ms
                && generation.started_ms < stop.ended_ms
        });
        stops.map(move |stop| (generation, stop))
    });
    pairs.map(|(generation, stop)| Violation::WorkAfterStop(format!("{generation:?} {stop:?}")))
}

/// The violation of the first wrong token, if any. A token's text has the form
/// `<fingerprint of the prompt>.<index>.<generation>`.
fn token_violation(stream: &Stream) -> Option<Violation> {
    let mut generation = None;
    let texts = stream
        .connections
        .iter()
        .flat_map(|connection| &connection.tokens);
    for (index, text) in texts.enumerate() {
        let fields: Vec<&str> = text.trim_end().split('.').collect();
        let [fingerprint, position, mark] = fields[..] else {
            return Some(Violation::Crossed(describe(stream)));
        };
        if fingerprint != stream.fingerprint {
            return Some(Violation::Crossed(describe(stream)));
        }
        if *generation.get_or_insert(mark) != mark {
            return Some(Violation::MixedGenerations(describe(stream)));
        }
        if position.parse() != Ok(index) {
            return Some(Violation::OutOfOrder(describe(stream)));
        }
    }
    None
}

/// A stream that ended with `[DONE]` must have all requested tokens.
fn truncation(stream: &Stream) -> Option<Violation> {
    let count: usize = stream
        .connections
        .iter()
        .map(|connection| connection.tokens.len())
        .sum();
    let done = stream
        .connections
        .iter()
        .any(|connection| connection.end == ConnectionEnd::Done);
    (done && count != stream.requested_tokens).then(|| Violation::Truncated(describe(stream)))
}

/// Whether an engine's record has a generation for a request that was refused as not run.
fn is_refused_but_ran(
    connection: &Connection,
    generations_by_request: &BTreeMap<&str, BTreeSet<&str>>,
) -> bool {
    matches!(connection.end, ConnectionEnd::Refused { not_run: true, .. })
        && generations_by_request.contains_key(&*connection.request)
}

/// Whether a connection closed without `[DONE]` or an error although its host was not killed
/// meanwhile.
fn ended_silently(connection: &Connection, history: &History) -> bool {
    let killed = history.outages.iter().any(|outage| {
        outage.host == connection.host
            && outage.span.begin <= connection.span.end
            && outage.span.end >= connection.span.begin
    });
    connection.end == ConnectionEnd::Closed && !killed
}

fn describe(stream: &Stream) -> String {
    let connections = stream.connections.iter().map(|connection| {
        let [first, last] = [connection.tokens.first(), connection.tokens.last()];
        format!(
            "{} on host {} at {:?}: {} tokens from {first:?} to {last:?}, {:?}",
            connection.request,
            connection.host,
            connection.span,
            connection.tokens.len(),
            connection.end
        )
    });
    let connections: Vec<String> = connections.collect();
    format!(
        "{} of {} tokens: {}",
        stream.fingerprint,
        stream.requested_tokens,
        connections.join("; ")
    )
}
