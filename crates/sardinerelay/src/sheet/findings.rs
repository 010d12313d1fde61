//! Collects errors and warnings and the positions in the file that they refer to.

use {
    super::{
        error::{Error, ErrorKind, Warning, WarningKind},
        limit,
    },
    std::{
        collections::{HashMap, HashSet},
        ops::Range,
    },
};

/// A position in the file, from line 1 and column 1. Columns count characters.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Position {
    pub(super) line: u32,
    pub(super) column: u32,
}

/// Maps byte offsets to lines and columns.
#[derive(Debug)]
struct Lines<'text> {
    text: &'text str,
    /// The byte offsets at which lines begin.
    starts: Vec<usize>,
}

impl<'text> Lines<'text> {
    fn new(text: &'text str) -> Self {
        let after_newlines = text.match_indices('\n').map(|(offset, _)| offset + 1);
        Self {
            text,
            starts: std::iter::once(0).chain(after_newlines).collect(),
        }
    }

    fn position(&self, offset: usize) -> Position {
        let offset = self.text.floor_char_boundary(offset);
        let line = self.starts.partition_point(|start| *start <= offset) - 1;
        let column = self.text[self.starts[line]..offset].chars().count();
        Position {
            line: line as u32 + 1,
            column: column as u32 + 1,
        }
    }
}

/// Errors and warnings of one file.
#[derive(Debug)]
pub(super) struct Findings<'text> {
    lines: Lines<'text>,
    /// Byte offsets of fields, by their path.
    offsets: HashMap<String, usize>,
    fields_with_error: HashSet<String>,
    lines_with_syntax_error: HashSet<u32>,
    errors: Vec<Error>,
    has_syntax_error: bool,
    /// Whether errors beyond [`limit::MAX_ERRORS`] were dropped.
    is_truncated: bool,
    warnings: Vec<Warning>,
}

impl<'text> Findings<'text> {
    pub(super) fn new(text: &'text str) -> Self {
        Self {
            lines: Lines::new(text),
            offsets: HashMap::new(),
            fields_with_error: HashSet::new(),
            lines_with_syntax_error: HashSet::new(),
            errors: Vec::new(),
            has_syntax_error: false,
            is_truncated: false,
            warnings: Vec::new(),
        }
    }

    /// Records the position of a field, for later errors and warnings about it.
    pub(super) fn locate(&mut self, field: &str, span: Range<usize>) {
        self.offsets.insert(field.to_owned(), span.start);
    }

    /// Line of a field whose position was recorded.
    pub(super) fn line(&self, field: &str) -> u32 {
        self.position(field).line
    }

    /// Adds a syntax error. Further ones on the same line are dropped, because they are usually
    /// consequences of the first.
    pub(super) fn syntax_error(&mut self, message: &str, span: Option<Range<usize>>) {
        let position = self
            .lines
            .position(span.map_or(self.lines.text.len(), |span| span.start));
        self.has_syntax_error = true;
        if self.lines_with_syntax_error.insert(position.line) {
            self.push(
                position,
                String::new(),
                ErrorKind::Syntax(message.to_owned()),
            );
        }
    }

    /// Adds an error in a field. It is dropped if the field or its entry has an error already,
    /// since later checks of a wrong value would only repeat it, or if it may be a consequence of a
    /// syntax error.
    pub(super) fn error(&mut self, field: &str, kind: ErrorKind) {
        let position = self.position(field);
        let hidden_by_syntax =
            !kind.is_local() || self.lines_with_syntax_error.contains(&position.line);
        let entry = field.rsplit_once('.').map_or("", |(entry, _)| entry);
        if self.has_syntax_error && hidden_by_syntax || self.fields_with_error.contains(entry) {
            return;
        }
        if self.fields_with_error.insert(field.to_owned()) {
            self.push(position, field.to_owned(), kind);
        }
    }

    /// Adds a warning about a field. Warnings beyond [`limit::MAX_ERRORS`] are dropped.
    pub(super) fn warn(&mut self, field: &str, kind: WarningKind) {
        let position = self.position(field);
        if self.warnings.len() < limit::MAX_ERRORS {
            self.warnings.push(Warning {
                line: position.line,
                column: position.column,
                field: field.to_owned(),
                kind,
            });
        }
    }

    /// Whether errors were dropped because there are more than [`limit::MAX_ERRORS`].
    pub(super) fn is_truncated(&self) -> bool {
        self.is_truncated
    }

    /// Whether a field has an error already.
    pub(super) fn has_error(&self, field: &str) -> bool {
        self.fields_with_error.contains(field)
    }

    pub(super) fn has_errors(&self) -> bool {
        !self.errors.is_empty()
    }

    /// Returns the errors and the warnings, both in the order of the file.
    pub(super) fn into_sorted(mut self) -> (Vec<Error>, Vec<Warning>) {
        self.errors.sort_by_key(|error| (error.line, error.column));
        if self.is_truncated {
            let last = self.lines.position(self.lines.text.len());
            self.errors.push(Error {
                line: last.line,
                column: last.column,
                field: String::new(),
                kind: ErrorKind::TooManyErrors {
                    limit: limit::MAX_ERRORS,
                },
            });
        }
        self.warnings
            .sort_by_key(|warning| (warning.line, warning.column));
        (self.errors, self.warnings)
    }

    fn position(&self, field: &str) -> Position {
        self.lines
            .position(self.offsets.get(field).copied().unwrap_or(0))
    }

    fn push(&mut self, position: Position, field: String, kind: ErrorKind) {
        if self.errors.len() >= limit::MAX_ERRORS {
            self.is_truncated = true;
            return;
        }
        self.errors.push(Error {
            line: position.line,
            column: position.column,
            field,
            kind,
        });
    }
}
