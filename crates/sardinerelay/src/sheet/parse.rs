//! Validation of a whole file.

use {
    super::{
        Sheet, check,
        error::{Error, ErrorKind, Warning},
        findings::Findings,
        limit, read,
    },
    toml::{Spanned, de::DeTable},
};

/// Reads and validates a sheet.
///
/// # Errors
///
/// Returns every error found, in the order of the file, and at least one. After a syntax error
/// only those other errors are listed that can't be a consequence of it.
pub fn parse(text: &str) -> Result<Sheet, Vec<Error>> {
    let (sheet, findings) = validate(text);
    let (faults, _) = findings.finish();
    if faults.is_empty() {
        return Ok(sheet);
    }
    Err(faults)
}

/// Lists findings that do not refuse a sheet, in the order of the file. Empty if the file has
/// errors.
pub fn warnings(text: &str) -> Vec<Warning> {
    let (sheet, mut findings) = validate(text);
    if findings.has_faults() {
        return Vec::new();
    }
    check::warnings(&sheet, &mut findings);
    let (_, warnings) = findings.finish();
    warnings
}

fn validate(text: &str) -> (Sheet, Findings<'_>) {
    let mut findings = Findings::new(text);
    if let Err(problem) = size(text) {
        findings.fault("", problem);
        return (Sheet::default(), findings);
    }
    let Some(root) = tree(text, &mut findings) else {
        return (Sheet::default(), findings);
    };
    let sheet = read::sheet(root.get_ref(), &mut findings);
    check::sheet(&sheet, &mut findings);
    (sheet, findings)
}

/// Refuses what would take too much memory, before the parser sees it.
fn size(text: &str) -> Result<(), ErrorKind> {
    if text.len() > limit::MAX_FILE_BYTES {
        return Err(ErrorKind::FileTooLarge {
            bytes: text.len(),
            limit: limit::MAX_FILE_BYTES,
        });
    }
    let separators = separators(text);
    if separators > limit::MAX_SEPARATORS {
        return Err(ErrorKind::TooManySeparators {
            separators,
            limit: limit::MAX_SEPARATORS,
        });
    }
    Ok(())
}

fn separators(text: &str) -> usize {
    let mut previous = 0;
    let mut count = 0;
    for byte in text.bytes() {
        let in_word = !byte.is_ascii() || byte.is_ascii_alphanumeric() || b"-_:".contains(&byte);
        let in_run = byte == b' ' && previous == b' ';
        count += usize::from(!in_word && !in_run);
        previous = byte;
    }
    count
}

/// The TOML tree, without the parts that have syntax errors.
fn tree<'text>(text: &'text str, findings: &mut Findings<'_>) -> Option<Spanned<DeTable<'text>>> {
    let error = match DeTable::parse(text) {
        Ok(root) => return Some(root),
        Err(error) => error,
    };
    if text.len() > limit::MAX_RECOVERY_BYTES {
        findings.syntax(error.message(), error.span());
        return None;
    }
    let (root, errors) = DeTable::parse_recoverable(text);
    for error in errors {
        findings.syntax(error.message(), error.span());
    }
    Some(root)
}
