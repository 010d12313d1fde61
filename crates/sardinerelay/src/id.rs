//! Aliases for the identifiers that cross module boundaries.

use compact_str::CompactString;
use uuid::Uuid;

/// A host's number, unique among all hosts and never reused after a lost disk.
pub type Host = u64;

/// An availability zone's name, for example `lakes-a`.
pub type Zone = CompactString;

/// An organisation's name as the sheet states it.
pub type Organisation = CompactString;

/// A request class's name as the sheet states it.
pub type Class = CompactString;

/// A target's name: an engine or one server of a plain service.
pub type Target = CompactString;

/// A model's name as callers ask for it.
pub type Model = CompactString;

/// A plain service's name.
pub type Service = CompactString;

/// One attempt to generate an answer. A restarted answer gets a new identifier.
pub type Generation = Uuid;

/// A term of the replicated log.
pub type Term = u64;

/// A position in the replicated log; the first entry has index 1.
pub type Index = u64;

/// One run of a host's daemon or of a target. A later run has a higher number.
pub type Incarnation = u64;

/// The number of accepted changes to what hosts pull.
pub type Version = u64;
