//! Rules for single texts.

use {
    super::{
        HTTP_METHODS, RESERVED_PATHS,
        error::{ErrorKind, PathError, Quote},
        limit,
    },
    crate::operator::Digest,
};

/// Checks one text.
pub(super) type Rule = fn(&str) -> Result<(), ErrorKind>;

const NAME_CHARACTERS: &str =
    "letters and digits, after the first character also `-`, `_`, `.`, `/`, `+` and `@`";
const VERSION_CHARACTERS: &str = "printable ASCII characters except the space";
const PATH_CHARACTERS: &str = "ASCII letters and digits, `/`, `-`, `_`, `.` and `~`";

/// Rule for a name of a class, target, zone, service or organisation.
pub(super) const NAME: Rule = name;

/// Rule for a model or adapter name, the two parts of `model:adapter`.
pub(super) const PART: Rule = part;

/// Rule for a model's version.
pub(super) const VERSION: Rule = version;

/// Rule for a service's path.
pub(super) const PATH: Rule = path;

/// Rule for an HTTP method.
pub(super) const METHOD: Rule = method;

/// Rule for the digest of an API key.
pub(super) const KEY_DIGEST: Rule = key_digest;

/// Rule for any text.
pub(super) fn not_empty(text: &str) -> Result<(), ErrorKind> {
    if text.is_empty() {
        return Err(ErrorKind::EmptyText);
    }
    if text.len() > limit::MAX_TEXT_BYTES {
        return Err(ErrorKind::TextTooLong {
            bytes: text.len(),
            limit: limit::MAX_TEXT_BYTES,
        });
    }
    Ok(())
}

fn name(text: &str) -> Result<(), ErrorKind> {
    not_empty(text)?;
    let first_is_plain = text.chars().take(1).all(char::is_alphanumeric);
    let allowed = |character: char| character.is_alphanumeric() || "-_./+@".contains(character);
    let wrong = match first_is_plain {
        true => text.chars().find(|character| !allowed(*character)),
        false => text.chars().next(),
    };
    report(wrong, NAME_CHARACTERS)
}

fn part(text: &str) -> Result<(), ErrorKind> {
    if text.contains(':') {
        return Err(ErrorKind::Separator);
    }
    name(text)
}

fn version(text: &str) -> Result<(), ErrorKind> {
    not_empty(text)?;
    let wrong = text.chars().find(|character| !character.is_ascii_graphic());
    report(wrong, VERSION_CHARACTERS)
}

fn path(text: &str) -> Result<(), ErrorKind> {
    not_empty(text)?;
    let Some(below_root) = text.strip_prefix('/') else {
        return Err(ErrorKind::Path(PathError::NotAbsolute));
    };
    if below_root.is_empty() {
        return Err(ErrorKind::Path(PathError::Root));
    }
    if below_root.ends_with('/') {
        return Err(ErrorKind::Path(PathError::TrailingSlash));
    }
    let hidden = |segment| matches!(segment, "" | "." | "..");
    if below_root.split('/').any(hidden) {
        return Err(ErrorKind::Path(PathError::Segment));
    }
    let allowed =
        |character: char| character.is_ascii_alphanumeric() || "/-_.~".contains(character);
    report(
        text.chars().find(|character| !allowed(*character)),
        PATH_CHARACTERS,
    )?;
    reserved_path(text)
}

fn reserved_path(text: &str) -> Result<(), ErrorKind> {
    let reserved = RESERVED_PATHS
        .iter()
        .find(|reserved| covers(reserved, text));
    match reserved {
        Some(reserved) => Err(ErrorKind::ReservedPath {
            path: Quote::new(text),
            reserved,
        }),
        None => Ok(()),
    }
}

/// Whether `prefix` selects `path`: by whole segments, so that `/shop` does not select
/// `/shopping`.
pub(super) fn covers(prefix: &str, path: &str) -> bool {
    path.strip_prefix(prefix)
        .is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}

fn method(text: &str) -> Result<(), ErrorKind> {
    if HTTP_METHODS.contains(&text) {
        return Ok(());
    }
    Err(ErrorKind::UnknownMethod {
        method: Quote::new(text),
    })
}

fn key_digest(text: &str) -> Result<(), ErrorKind> {
    match text.parse::<Digest>() {
        Ok(_) => Ok(()),
        Err(_) => Err(ErrorKind::KeyDigest),
    }
}

fn report(wrong: Option<char>, allowed: &'static str) -> Result<(), ErrorKind> {
    match wrong {
        Some(character) => Err(ErrorKind::Character { character, allowed }),
        None => Ok(()),
    }
}

/// A key of the file as part of a field path: quoted unless it is a bare key.
pub(super) fn key(name: &str) -> String {
    let bare = |byte: u8| byte.is_ascii_alphanumeric() || b"-_".contains(&byte);
    if !name.is_empty() && name.len() <= limit::MAX_QUOTE_CHARS && name.bytes().all(bare) {
        return name.to_owned();
    }
    Quote::new(name).to_string()
}
