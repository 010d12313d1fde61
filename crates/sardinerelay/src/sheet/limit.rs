//! Limits on a sheet, which keep a damaged or hostile file from exhausting a host's memory.
//!
//! They are several times the size that is expected in two years: 12,000 targets, 760 organisations
//! and 14 models (`docs/design.md`, section 1.5).

use std::ops::RangeInclusive;

/// Maximum size of a file in bytes. A sheet with 12,000 targets takes about 2 MB.
pub const MAX_FILE_BYTES: usize = 4 << 20;

/// Maximum number of separators in a file: ASCII characters other than letters, digits, `-`, `_`
/// and `:`, where a run of spaces counts once. This bounds the number of tokens that the parser
/// keeps, each of which takes many times its length in memory. A sheet with 12,000 targets has
/// about 490,000 separators.
pub const MAX_SEPARATORS: usize = 1_200_000;

/// Maximum size in bytes of a file of which every syntax error is reported. Of a larger file only
/// the first is, because the parser can report an error for each byte.
pub const MAX_RECOVERY_BYTES: usize = 256 << 10;

/// Maximum number of errors, and of warnings, that are reported for one file.
pub const MAX_ERRORS: usize = 1000;

/// Maximum length of a name, version, path or list item in bytes.
pub const MAX_TEXT_BYTES: usize = 128;

/// Maximum length of a piece of the file that is quoted in a message, in characters.
pub const MAX_QUOTE_CHARS: usize = 80;

/// Maximum number of request classes.
pub const MAX_CLASSES: usize = 64;

/// Maximum number of targets, also of one model or service.
pub const MAX_TARGETS: usize = 20_000;

/// Maximum number of models.
pub const MAX_MODELS: usize = 512;

/// Maximum number of adapters of one model.
pub const MAX_ADAPTERS: usize = 1024;

/// Maximum number of plain services.
pub const MAX_SERVICES: usize = 512;

/// Maximum number of organisations.
pub const MAX_ORGANISATIONS: usize = 5000;

/// Maximum number of API keys of one organisation.
pub const MAX_KEYS: usize = 64;

/// Maximum number of repeatable methods of one service.
pub const MAX_REPEATABLE_METHODS: usize = 16;

/// Sheet numbers, up to the largest integer that every JSON reader represents exactly.
pub const NUMBER_RANGE: RangeInclusive<u64> = 1..=(1 << 53) - 1;

/// Priorities of request classes.
pub const PRIORITY_RANGE: RangeInclusive<u64> = 0..=u8::MAX as u64;

/// Maximum waits of request classes in milliseconds, up to one hour.
pub const MAX_WAIT_MS_RANGE: RangeInclusive<u64> = 1..=3_600_000;

/// Key-value memory of a target in tokens.
pub const MEMORY_TOKENS_RANGE: RangeInclusive<u64> = 0..=1_000_000_000;

/// Tokens per minute. The expected peak of all organisations together is 396 million.
pub const TOKENS_PER_MINUTE_RANGE: RangeInclusive<u64> = 1..=10_000_000_000;

/// Requests per minute. The expected peak of all organisations together is 1.08 million.
pub const REQUESTS_PER_MINUTE_RANGE: RangeInclusive<u64> = 1..=100_000_000;
