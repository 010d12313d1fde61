//! Identifies the content of requests, so that hosts recognise one that comes again.

use {
    crate::{call::Part, quarantine::Subject},
    http::{Method, Uri},
    sardinerelay::id::Organisation,
    sha2::{Digest as _, Sha256},
};

/// Returns a number that is equal for requests with the same method, host, path, query,
/// organisation and body, whatever their IDs are.
///
/// It is the start of a SHA-256 hash, so that no organisation can craft a request with the number of
/// another one's.
pub fn of(
    (method, host, uri): (&Method, &str, &Uri),
    organisation: Option<&Organisation>,
    body: &[u8],
) -> Subject {
    let path = uri.path_and_query().map_or("", |path| path.as_str());
    let organisation = organisation.map_or("", |organisation| organisation.as_str());
    let mut hash = Sha256::new();
    for field in [method.as_str(), host, path, organisation] {
        // The length separates a field from the next one.
        hash.update((field.len() as u64).to_le_bytes());
        hash.update(field);
    }
    hash.update(body);
    number(hash)
}

/// Returns the number of a request whose prompt consists of these parts, and which has the number `request` apart from
/// it. The content of a generation is its prompt, which bodies don't always tell.
pub fn with_prompt(request: Subject, parts: &[Part]) -> Subject {
    let mut hash = Sha256::new();
    hash.update(request.to_le_bytes());
    for part in parts {
        hash.update(part.id.to_le_bytes());
        hash.update(part.tokens.to_le_bytes());
    }
    number(hash)
}

/// Returns the start of a hash.
fn number(hash: Sha256) -> Subject {
    let [
        first,
        second,
        third,
        fourth,
        fifth,
        sixth,
        seventh,
        eighth,
        ..,
    ]: [u8; 32] = hash.finalize().into();
    Subject::from_le_bytes([first, second, third, fourth, fifth, sixth, seventh, eighth])
}
