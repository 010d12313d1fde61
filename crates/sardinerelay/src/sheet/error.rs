//! Findings in a sheet.

use {
    super::limit,
    std::fmt::{self, Display, Formatter},
};

/// One error in a sheet, which refuses it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Error {
    /// Line, from 1.
    pub line: u32,
    /// Column in characters, from 1.
    pub column: u32,
    /// Path of the field, for example `organisation[2].classes[0]` with positions from 0.
    /// Empty if the finding is about the whole file.
    pub field: String,
    /// What is wrong.
    pub problem: ErrorKind,
}

impl Display for Error {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        place(formatter, self.line, self.column, &self.field)?;
        self.problem.fmt(formatter)
    }
}

impl std::error::Error for Error {}

/// One finding that does not refuse a sheet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Warning {
    /// Line, from 1.
    pub line: u32,
    /// Column in characters, from 1.
    pub column: u32,
    /// Path of the field, as in [`Error::field`].
    pub field: String,
    /// What may be wrong.
    pub concern: WarningKind,
}

impl Display for Warning {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        place(formatter, self.line, self.column, &self.field)?;
        self.concern.fmt(formatter)
    }
}

fn place(formatter: &mut Formatter<'_>, line: u32, column: u32, field: &str) -> fmt::Result {
    write!(formatter, "line {line}, column {column}: ")?;
    if field.is_empty() {
        return Ok(());
    }
    write!(formatter, "{field}: ")
}

/// A piece of the file for a message: escaped and shortened, because it may hold anything.
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
    /// The file is too long.
    #[error("the file has {bytes} bytes, the limit is {limit}")]
    FileTooLarge {
        /// Its length in bytes.
        bytes: usize,
        /// The limit in bytes.
        limit: usize,
    },
    /// The file would take too much memory to read.
    #[error(
        "the file has {separators} separators, such as spaces, commas and quotes; the limit is {limit}"
    )]
    TooManySeparators {
        /// Their number.
        separators: usize,
        /// The limit.
        limit: usize,
    },
    /// The file is not TOML.
    #[error("{0}")]
    Syntax(String),
    /// The field does not exist.
    #[error("unknown field; allowed here: {}", allowed.join(", "))]
    UnknownField {
        /// The fields that exist.
        allowed: &'static [&'static str],
    },
    /// A required field is absent.
    #[error("required field is missing")]
    Missing,
    /// The value has another type.
    #[error("expected {expected}, found {found}")]
    WrongType {
        /// The type needed.
        expected: &'static str,
        /// The type found.
        found: &'static str,
    },
    /// The number lies outside the range.
    #[error("{value} is outside the range {minimum} to {maximum}")]
    OutOfRange {
        /// The number as written.
        value: Quote,
        /// The lowest value allowed.
        minimum: u64,
        /// The highest value allowed.
        maximum: u64,
    },
    /// The list or table array has too many entries.
    #[error("{count} entries, the limit is {limit}")]
    TooMany {
        /// The number of entries.
        count: usize,
        /// The limit.
        limit: usize,
    },
    /// The list needs an entry.
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
    /// The text holds a character that is not allowed.
    #[error("character {character:?} is not allowed; allowed are {allowed}")]
    Character {
        /// The first such character.
        character: char,
        /// The characters allowed.
        allowed: &'static str,
    },
    /// A model or adapter name holds the separator of the two.
    #[error("`:` is not allowed, because callers ask for an adapter as `model:adapter`")]
    Separator,
    /// An earlier entry has the same name.
    #[error("{name} is listed twice, first on line {first_line}")]
    Duplicate {
        /// The name.
        name: Quote,
        /// The line of the first one.
        first_line: u32,
    },
    /// The address is not one that can be connected to.
    #[error(
        "{value} is not an address of the form 10.0.1.5:8000 or [fd00::5]:8000 with a port above 0"
    )]
    Address {
        /// The address as written.
        value: Quote,
    },
    /// No such target.
    #[error("no target is named {name}")]
    UnknownTarget {
        /// The name.
        name: Quote,
    },
    /// No such class.
    #[error("no class is named {name}")]
    UnknownClass {
        /// The name.
        name: Quote,
    },
    /// A model runs on a target without memory.
    #[error("model {model} runs on this target, so its memory_tokens must be above 0")]
    EngineWithoutMemory {
        /// The first model that runs on it.
        model: Quote,
    },
    /// A plain service runs on an engine.
    #[error("target {target} is an engine (memory_tokens above 0) and can't run a plain service")]
    EngineInService {
        /// The target.
        target: Quote,
    },
    /// The key digest is malformed.
    #[error("expected 64 lower-case hexadecimal digits, as `sardinectl key hash` prints them")]
    KeyDigest,
    /// Two organisations share a key.
    #[error("organisation {organisation} has the same key, on line {first_line}")]
    SharedKey {
        /// The first organisation.
        organisation: Quote,
        /// The line of its key.
        first_line: u32,
    },
    /// The path is malformed.
    #[error("{0}")]
    Path(PathError),
    /// The path covers, or is covered by, one of the daemon's own.
    #[error("{path} overlaps the daemon's own path {reserved}")]
    ReservedPath {
        /// The path.
        path: Quote,
        /// The daemon's path.
        reserved: &'static str,
    },
    /// Two services have overlapping paths.
    #[error("{path} overlaps {other} of service {service}, on line {first_line}")]
    OverlappingPath {
        /// The path.
        path: Quote,
        /// The other path.
        other: Quote,
        /// The service with the other path.
        service: Quote,
        /// The line of the other path.
        first_line: u32,
    },
    /// The method does not exist.
    #[error("{method} is not an HTTP method; allowed are {}", super::HTTP_METHODS.join(", "))]
    UnknownMethod {
        /// The method as written.
        method: Quote,
    },
    /// The sheet serves nothing.
    #[error("the sheet has neither a model nor a service")]
    NothingServed,
    /// The report ends here.
    #[error("more than {limit} errors; the rest is not listed")]
    TooManyFaults {
        /// The number of errors listed.
        limit: usize,
    },
}

impl ErrorKind {
    /// Whether the problem lies in the value alone, so that it is real even if other parts of
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
    /// It holds an empty segment, `.` or `..`.
    #[error("the path must not contain empty segments, `.` or `..`")]
    Segment,
}

/// What may be wrong with a field.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum WarningKind {
    /// Calls that change something may be sent twice.
    #[error(
        "{method} changes state in most services; listed as repeatable, a call may run more than once"
    )]
    UnsafeRepeatable {
        /// The method.
        method: Quote,
    },
    /// Nothing runs on the target.
    #[error("no model or service uses target {target}")]
    UnusedTarget {
        /// The target.
        target: Quote,
    },
    /// No organisation may use the class.
    #[error("no organisation uses class {class}")]
    UnusedClass {
        /// The class.
        class: Quote,
    },
    /// The organisation can't send requests.
    #[error("organisation {organisation} has no keys, so that none of its requests is accepted")]
    NoKeys {
        /// The organisation.
        organisation: Quote,
    },
}
