//! Type aliases for identifiers that several modules use.

use {compact_str::CompactString, uuid::Uuid};

/// A host's number. It is unique among all hosts and never reused after the loss of a disk.
pub type Host = u64;

/// An availability zone's name, for example `lakes-a`.
pub type Zone = CompactString;

/// A region: availability zones that are near one another.
pub type Region = CompactString;

/// An organisation's name in the sheet.
pub type Organisation = CompactString;

/// A request class's name in the sheet.
pub type Class = CompactString;

/// The name of a target, which is an engine or one server of a plain service.
pub type Target = CompactString;

/// A model's name as callers send it.
pub type Model = CompactString;

/// A plain service's name.
pub type Service = CompactString;

/// The identifier of one attempt to generate an answer. A new attempt gets a new identifier.
pub type Generation = Uuid;

/// A term of the replicated log.
pub type Term = u64;

/// A position in the replicated log; the first entry has index 1.
pub type Index = u64;

/// The number of one run of a host's daemon or of a target. A later run has a higher number.
pub type Incarnation = u64;

/// A version of a target's software. It has no order, and is another thing than the version of a model's
/// weights.
pub type Build = CompactString;

/// The version of the state that hosts pull: the number of changes accepted so far.
pub type Version = u64;
