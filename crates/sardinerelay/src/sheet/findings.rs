//! Collects findings and the places they refer to.

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

/// A place in the file.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Place {
    pub(super) line: u32,
    pub(super) column: u32,
}

/// The byte offsets at which lines begin.
#[derive(Debug)]
struct Lines<'text> {
    text: &'text str,
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

    fn place(&self, offset: usize) -> Place {
        let offset = self.text.floor_char_boundary(offset);
        let line = self.starts.partition_point(|start| *start <= offset) - 1;
        let column = self.text[self.starts[line]..offset].chars().count();
        Place {
            line: line as u32 + 1,
            column: column as u32 + 1,
        }
    }
}

/// Findings of one file.
#[derive(Debug)]
pub(super) struct Findings<'text> {
    lines: Lines<'text>,
    offsets: HashMap<String, usize>,
    faulty_fields: HashSet<String>,
    faulty_lines: HashSet<u32>,
    faults: Vec<Error>,
    syntax_faults: bool,
    overflow: bool,
    warnings: Vec<Warning>,
}

impl<'text> Findings<'text> {
    pub(super) fn new(text: &'text str) -> Self {
        Self {
            lines: Lines::new(text),
            offsets: HashMap::new(),
            faulty_fields: HashSet::new(),
            faulty_lines: HashSet::new(),
            faults: Vec::new(),
            syntax_faults: false,
            overflow: false,
            warnings: Vec::new(),
        }
    }

    /// Remembers where a field is, for later findings about it.
    pub(super) fn locate(&mut self, field: &str, span: Range<usize>) {
        self.offsets.insert(field.to_owned(), span.start);
    }

    /// The line of a located field.
    pub(super) fn line(&self, field: &str) -> u32 {
        self.place(field).line
    }

    /// Records a syntax error. Further ones on the same line are most often consequences of the
    /// first.
    pub(super) fn syntax(&mut self, message: &str, span: Option<Range<usize>>) {
        let place = self
            .lines
            .place(span.map_or(self.lines.text.len(), |span| span.start));
        self.syntax_faults = true;
        if self.faulty_lines.insert(place.line) {
            self.push(place, String::new(), ErrorKind::Syntax(message.to_owned()));
        }
    }

    /// Records an error in a located field. One field gets one error, and a field of a faulty
    /// entry none: later checks of a value that is wrong already would only repeat it.
    pub(super) fn fault(&mut self, field: &str, problem: ErrorKind) {
        let place = self.place(field);
        let hidden_by_syntax = !problem.is_local() || self.faulty_lines.contains(&place.line);
        let entry = field.rsplit_once('.').map_or("", |(entry, _)| entry);
        if self.syntax_faults && hidden_by_syntax || self.faulty_fields.contains(entry) {
            return;
        }
        if self.faulty_fields.insert(field.to_owned()) {
            self.push(place, field.to_owned(), problem);
        }
    }

    pub(super) fn warn(&mut self, field: &str, concern: WarningKind) {
        let place = self.place(field);
        if self.warnings.len() < limit::MAX_ERRORS {
            self.warnings.push(Warning {
                line: place.line,
                column: place.column,
                field: field.to_owned(),
                concern,
            });
        }
    }

    /// Whether further errors are not listed any more.
    pub(super) fn is_full(&self) -> bool {
        self.overflow
    }

    /// Whether a field has an error already.
    pub(super) fn is_faulty(&self, field: &str) -> bool {
        self.faulty_fields.contains(field)
    }

    pub(super) fn has_faults(&self) -> bool {
        !self.faults.is_empty()
    }

    /// The errors and warnings in the order of the file.
    pub(super) fn finish(mut self) -> (Vec<Error>, Vec<Warning>) {
        self.faults.sort_by_key(|fault| (fault.line, fault.column));
        if self.overflow {
            let last = self.lines.place(self.lines.text.len());
            self.faults.push(Error {
                line: last.line,
                column: last.column,
                field: String::new(),
                problem: ErrorKind::TooManyFaults {
                    limit: limit::MAX_ERRORS,
                },
            });
        }
        self.warnings
            .sort_by_key(|warning| (warning.line, warning.column));
        (self.faults, self.warnings)
    }

    fn place(&self, field: &str) -> Place {
        self.lines
            .place(self.offsets.get(field).copied().unwrap_or(0))
    }

    fn push(&mut self, place: Place, field: String, problem: ErrorKind) {
        if self.faults.len() >= limit::MAX_ERRORS {
            self.overflow = true;
            return;
        }
        self.faults.push(Error {
            line: place.line,
            column: place.column,
            field,
            problem,
        });
    }
}
