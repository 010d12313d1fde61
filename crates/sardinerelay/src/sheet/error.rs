//! Errors and warnings in a sheet.

use {
    super::limit,
    std::fmt::{self, Display, Formatter},
};

/// An error in a sheet. A sheet with an error is rejected.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Error {
    /// Line, from 1.
    pub line: u32,
    /// Column in characters, from 1.
    pub column: u32,
    /// Path of the field, for example `organisation[2].classes[0]` with positions from 0.
    /// Empty if the error is about the whole file.
    pub field: String,
    /// What is wrong.
    pub kind: ErrorKind,
}

impl Display for Error {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        write_location(formatter, self.line, self.column, &self.field)?;
        self.kind.fmt(formatter)
    }
}

impl std::error::Error for Error {}

/// A doubtful entry in a sheet that is valid.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Warning {
    /// Line, from 1.
    pub line: u32,
    /// Column in characters, from 1.
    pub column: u32,
    /// Path of the field, as in [`Error::field`].
    pub field: String,
    /// What may be wrong.
    pub kind: WarningKind,
}

impl Display for Warning {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        write_location(formatter, self.line, self.column, &self.field)?;
        self.kind.fmt(formatter)
    }
}

fn write_location(
    formatter: &mut Formatter<'_>,
    line: u32,
    column: u32,
    field: &str,
) -> fmt::Result {
    write!(formatter, "line {line}, column {column}: ")?;
    if field.is_empty() {
        return Ok(());
    }
    write!(formatter, "{field}: ")
}

/// A piece of the file, quoted in a message. It is escaped and shortened, because it may contain
/// any text of any length.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Quote(String);

impl Quote {
    pub(super) fn new(text: &str) -> Self {
        let mut quote: String = text.chars().take(limit::MAX_QUOTE_CHARS).collect();
        if quote.len() < text.len() {
            quote.push('…');
        }
        Self(quote)
    }
}

impl Display for Quote {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:?}", self.0)
    }
}

/// What is wrong with a field.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ErrorKind {
    /// The file exceeds the size limit.
    #[error("the file has {bytes} bytes, the limit is {limit}")]
    FileTooLarge {
        /// The file's size in bytes.
        bytes: usize,
        /// The limit in bytes, [`limit::MAX_FILE_BYTES`].
        limit: usize,
    },
    /// The parser would use too much memory for the file.
    #[error(
        "the file has {separators} separators, such as spaces, commas and quotes; the limit is {limit}"
    )]
    TooManySeparators {
        /// The number of separators, as [`limit::MAX_SEPARATORS`] defines them.
        separators: usize,
        /// The highest number allowed, [`limit::MAX_SEPARATORS`].
        limit: usize,
    },
    /// The file is not valid TOML. The text is the parser's message.
    #[error("{0}")]
    Syntax(String),
    /// The field does not exist.
    #[error("unknown field; allowed here: {}", allowed.join(", "))]
    UnknownField {
        /// The fields that exist in this table.
        allowed: &'static [&'static str],
    },
    /// A required field is absent.
    #[error("required field is missing")]
    Missing,
    /// The value has the wrong type.
    #[error("expected {expected}, found {found}")]
    WrongType {
        /// The type that the field must have.
        expected: &'static str,
        /// The type of the value in the file.
        found: &'static str,
    },
    /// The number is outside the permitted range.
    #[error("{value} is outside the range {minimum} to {maximum}")]
    OutOfRange {
        /// The number in the file.
        value: Quote,
        /// The lowest permitted value.
        minimum: u64,
        /// The highest permitted value.
        maximum: u64,
    },
    /// The list or table array has too many entries.
    #[error("{count} entries, the limit is {limit}")]
    TooMany {
        /// The number of entries.
        count: usize,
        /// The highest number of entries that the field may have.
        limit: usize,
    },
    /// The list or table array must not be empty.
    #[error("at least one entry is required")]
    Empty,
    /// The text is empty.
    #[error("the text is empty")]
    EmptyText,
    /// The text is too long.
    #[error("the text has {bytes} bytes, the limit is {limit}")]
    TextTooLong {
        /// Its length in bytes.
        bytes: usize,
        /// The limit in bytes.
        limit: usize,
    },
    /// The text contains a character that is not allowed.
    #[error("character {character:?} is not allowed; allowed are {allowed}")]
    Character {
        /// The first such character.
        character: char,
        /// Description of the permitted characters.
        allowed: &'static str,
    },
    /// A model or adapter name contains the separator between the two.
    #[error("`:` is not allowed, because callers ask for an adapter as `model:adapter`")]
    Separator,
    /// An earlier entry has the same value.
    #[error("{name} is listed twice, first on line {first_line}")]
    Duplicate {
        /// The value that is listed twice.
        name: Quote,
        /// The line of its first occurrence.
        first_line: u32,
    },
    /// The address is malformed or can't be connected to.
    #[error(
        "{value} is not an address of the form 10.0.1.5:8000 or [fd00::5]:8000 with a port above 0"
    )]
    Address {
        /// The address in the file.
        value: Quote,
    },
    /// No target has this name.
    #[error("no target is named {name}")]
    UnknownTarget {
        /// The listed name that no target has.
        name: Quote,
    },
    /// No class has this name.
    #[error("no class is named {name}")]
    UnknownClass {
        /// The listed name that no class has.
        name: Quote,
    },
    /// A model runs on a target without key-value memory.
    #[error("model {model} runs on this target, so its memory_tokens must be above 0")]
    EngineWithoutMemory {
        /// The first model that runs on it.
        model: Quote,
    },
    /// A plain service runs on an engine.
    #[error("target {target} is an engine (memory_tokens above 0) and can't run a plain service")]
    EngineInService {
        /// Name of the engine that the service lists.
        target: Quote,
    },
    /// The key digest is malformed.
    #[error("expected 64 lower-case hexadecimal digits, as `sardinectl key hash` prints them")]
    KeyDigest,
    /// Two organisations have the same API key.
    #[error("organisation {organisation} has the same key, on line {first_line}")]
    SharedKey {
        /// The organisation that lists the key first.
        organisation: Quote,
        /// The line on which it does.
        first_line: u32,
    },
    /// The path is malformed.
    #[error("{0}")]
    Path(PathError),
    /// The path is one of the daemon's own, or below one.
    #[error("{path} overlaps the daemon's own path {reserved}")]
    ReservedPath {
        /// The path that the sheet gives the service.
        path: Quote,
        /// The daemon's path that it overlaps.
        reserved: &'static str,
    },
    /// The path is equal to, above or below the path of another service.
    #[error("{path} overlaps {other} of service {service}, on line {first_line}")]
    OverlappingPath {
        /// The path that the sheet gives the service.
        path: Quote,
        /// The other service's path.
        other: Quote,
        /// Name of the service with the other path.
        service: Quote,
        /// The line of the other path.
        first_line: u32,
    },
    /// The method is not in [`HTTP_METHODS`](super::HTTP_METHODS).
    #[error("{method} is not an HTTP method; allowed are {}", super::HTTP_METHODS.join(", "))]
    UnknownMethod {
        /// The method in the file.
        method: Quote,
    },
    /// The sheet has neither models nor services.
    #[error("the sheet has neither a model nor a service")]
    NothingServed,
    /// There are more errors than are reported.
    #[error("more than {limit} errors; the rest is not listed")]
    TooManyErrors {
        /// The number of errors that are reported.
        limit: usize,
    },
}

impl ErrorKind {
    /// Whether the error depends on the value alone, so that it is certain even if other parts of
    /// the file could not be read.
    pub(super) fn is_local(&self) -> bool {
        matches!(
            self,
            Self::WrongType { .. }
                | Self::OutOfRange { .. }
                | Self::EmptyText
                | Self::TextTooLong { .. }
                | Self::Character { .. }
                | Self::Separator
                | Self::Address { .. }
                | Self::KeyDigest
                | Self::Path(_)
                | Self::ReservedPath { .. }
                | Self::UnknownMethod { .. }
        )
    }
}

/// What is wrong with a service's path.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum PathError {
    /// It does not start with `/`.
    #[error("the path must start with `/`")]
    NotAbsolute,
    /// It is `/`, which would cover every other path.
    #[error("the path must name at least one segment after `/`")]
    Root,
    /// It ends with `/`.
    #[error("the path must not end with `/`; the service receives everything below it anyway")]
    TrailingSlash,
    /// It contains an empty segment, `.` or `..`.
    #[error("the path must not contain empty segments, `.` or `..`")]
    Segment,
}

/// What may be wrong with a field.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum WarningKind {
    /// A method that usually changes state is listed as repeatable.
    #[error(
        "{method} changes state in most services; listed as repeatable, a call may run more than once"
    )]
    UnsafeRepeatable {
        /// The method that is listed as repeatable.
        method: Quote,
    },
    /// No model or service uses the target.
    #[error("no model or service uses target {target}")]
    UnusedTarget {
        /// Name of the target that nothing uses.
        target: Quote,
    },
    /// No organisation lists the class.
    #[error("no organisation uses class {class}")]
    UnusedClass {
        /// Name of the class that no organisation lists.
        class: Quote,
    },
    /// The organisation has no API key, so it can't send requests.
    #[error("organisation {organisation} has no keys, so that none of its requests is accepted")]
    NoKeys {
        /// Name of the organisation without keys.
        organisation: Quote,
    },
}
