//! Rules for single text values.

use {
    super::{
        HTTP_METHODS, RESERVED_PATHS,
        error::{ErrorKind, PathError, Quote},
        limit,
    },
    crate::operator::Digest,
};

/// Checks one text value.
pub(super) type Rule = fn(&str) -> Result<(), ErrorKind>;

const NAME_CHARACTERS: &str =
    "letters and digits, after the first character also `-`, `_`, `.`, `/`, `+` and `@`";
const VERSION_CHARACTERS: &str = "printable ASCII characters except the space";
const PATH_CHARACTERS: &str = "ASCII letters and digits, `/`, `-`, `_`, `.` and `~`";

/// Rule for names of classes, targets, zones, services and organisations.
pub(super) const NAME: Rule = name;

/// Rule for names of models and adapters, the two parts of `model:adapter`.
pub(super) const MODEL_NAME: Rule = model_name;

/// Rule for a model's version.
pub(super) const VERSION: Rule = version;

/// Rule for a service's path.
pub(super) const PATH: Rule = path;

/// Rule for an HTTP method.
pub(super) const METHOD: Rule = method;

/// Rule for the digest of an API key.
pub(super) const KEY_DIGEST: Rule = key_digest;

/// Rule for texts of any content: not empty and not too long.
pub(super) fn check_length(text: &str) -> Result<(), ErrorKind> {
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
    check_length(text)?;
    let first_is_plain = text.chars().take(1).all(char::is_alphanumeric);
    let allowed = |character: char| character.is_alphanumeric() || "-_./+@".contains(character);
    let wrong = match first_is_plain {
        true => text.chars().find(|character| !allowed(*character)),
        false => text.chars().next(),
    };
    reject_character(wrong, NAME_CHARACTERS)
}

fn model_name(text: &str) -> Result<(), ErrorKind> {
    if text.contains(':') {
        return Err(ErrorKind::Separator);
    }
    name(text)
}

fn version(text: &str) -> Result<(), ErrorKind> {
    check_length(text)?;
    let wrong = text.chars().find(|character| !character.is_ascii_graphic());
    reject_character(wrong, VERSION_CHARACTERS)
}

fn path(text: &str) -> Result<(), ErrorKind> {
    check_length(text)?;
    let Some(below_root) = text.strip_prefix('/') else {
        return Err(ErrorKind::Path(PathError::NotAbsolute));
    };
    if below_root.is_empty() {
        return Err(ErrorKind::Path(PathError::Root));
    }
    if below_root.ends_with('/') {
        return Err(ErrorKind::Path(PathError::TrailingSlash));
    }
    let is_special = |segment| matches!(segment, "" | "." | "..");
    if below_root.split('/').any(is_special) {
        return Err(ErrorKind::Path(PathError::Segment));
    }
    let allowed =
        |character: char| character.is_ascii_alphanumeric() || "/-_.~".contains(character);
    reject_character(
        text.chars().find(|character| !allowed(*character)),
        PATH_CHARACTERS,
    )?;
    check_reserved(text)
}

fn check_reserved(text: &str) -> Result<(), ErrorKind> {
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

/// Whether `path` is `prefix` or below it. Whole segments are compared, so that `/shop` does not
/// cover `/shopping`.
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

fn reject_character(wrong: Option<char>, allowed: &'static str) -> Result<(), ErrorKind> {
    match wrong {
        Some(character) => Err(ErrorKind::Character { character, allowed }),
        None => Ok(()),
    }
}

/// Formats a TOML key as part of a field path. It is quoted unless it is a bare key.
pub(super) fn field_key(name: &str) -> String {
    let is_bare = |byte: u8| byte.is_ascii_alphanumeric() || b"-_".contains(&byte);
    if !name.is_empty() && name.len() <= limit::MAX_QUOTE_CHARS && name.bytes().all(is_bare) {
        return name.to_owned();
    }
    Quote::new(name).to_string()
}
