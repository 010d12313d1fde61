//! Parsing and validation of a whole file.

use {
    super::{
        Sheet, check,
        error::{Error, ErrorKind, Warning},
        findings::Findings,
        limit, read,
    },
    toml::{Spanned, de::DeTable},
};

/// Parses and validates a sheet.
///
/// # Errors
///
/// All errors in the order of the file, at least one. If there are syntax errors, other errors are
/// reported only if they can't be consequences of them.
pub fn parse(text: &str) -> Result<Sheet, Vec<Error>> {
    let (sheet, findings) = validate(text);
    let (errors, _) = findings.into_sorted();
    if errors.is_empty() {
        return Ok(sheet);
    }
    Err(errors)
}

/// Returns the warnings about a sheet, in the order of the file. Empty if the file has errors.
pub fn warnings(text: &str) -> Vec<Warning> {
    let (sheet, mut findings) = validate(text);
    if findings.has_errors() {
        return Vec::new();
    }
    check::warnings(&sheet, &mut findings);
    let (_, warnings) = findings.into_sorted();
    warnings
}

fn validate(text: &str) -> (Sheet, Findings<'_>) {
    let mut findings = Findings::new(text);
    if let Err(kind) = check_size(text) {
        findings.error("", kind);
        return (Sheet::default(), findings);
    }
    let Some(root) = parse_tree(text, &mut findings) else {
        return (Sheet::default(), findings);
    };
    let sheet = read::sheet(root.get_ref(), &mut findings);
    check::check(&sheet, &mut findings);
    (sheet, findings)
}

/// Rejects a file for which the parser would use too much memory.
fn check_size(text: &str) -> Result<(), ErrorKind> {
    if text.len() > limit::MAX_FILE_BYTES {
        return Err(ErrorKind::FileTooLarge {
            bytes: text.len(),
            limit: limit::MAX_FILE_BYTES,
        });
    }
    let separators = count_separators(text);
    if separators > limit::MAX_SEPARATORS {
        return Err(ErrorKind::TooManySeparators {
            separators,
            limit: limit::MAX_SEPARATORS,
        });
    }
    Ok(())
}

/// Counts separators as [`limit::MAX_SEPARATORS`] defines them.
fn count_separators(text: &str) -> usize {
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

/// Parses the TOML tree, without the parts that have syntax errors. Returns `None` for a file with
/// a syntax error that is larger than [`limit::MAX_RECOVERY_BYTES`].
fn parse_tree<'text>(
    text: &'text str,
    findings: &mut Findings<'_>,
) -> Option<Spanned<DeTable<'text>>> {
    let error = match DeTable::parse(text) {
        Ok(root) => return Some(root),
        Err(error) => error,
    };
    if text.len() > limit::MAX_RECOVERY_BYTES {
        findings.syntax_error(error.message(), error.span());
        return None;
    }
    let (root, errors) = DeTable::parse_recoverable(text);
    for error in errors {
        findings.syntax_error(error.message(), error.span());
    }
    Some(root)
}
