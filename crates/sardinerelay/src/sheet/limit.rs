//! Bounds on a sheet, several times the size expected in two years.
//!
//! `docs/design.md`, section 1.5 states that size: 12,000 targets, 760 organisations and
//! 14 models. The bounds keep a damaged or hostile file from using up a host's memory.

use std::ops::RangeInclusive;

/// Longest file in bytes. A sheet for 12,000 targets takes about 2 MB.
pub const MAX_FILE_BYTES: usize = 4 << 20;

/// Most separators in a file: ASCII characters other than letters, digits, `-`, `_` and `:`,
/// with a run of spaces counted once. They bound the tokens that the parser keeps, each of which
/// takes many times its length in memory. A sheet for 12,000 targets has about 490,000.
pub const MAX_SEPARATORS: usize = 1_200_000;

/// Longest file in bytes in which every syntax error is reported; above it only the first is,
/// because the parser can report an error for each byte.
pub const MAX_RECOVERY_BYTES: usize = 256 << 10;

/// Most faults reported for one file.
pub const MAX_ERRORS: usize = 1000;

/// Longest name, version, path or list item in bytes.
pub const MAX_TEXT_BYTES: usize = 128;

/// Longest piece of the file quoted in a message, in characters.
pub const MAX_QUOTE_CHARS: usize = 80;

/// Most request classes.
pub const MAX_CLASSES: usize = 64;

/// Most targets, and most targets of one model or service.
pub const MAX_TARGETS: usize = 20_000;

/// Most models.
pub const MAX_MODELS: usize = 512;

/// Most adapters of one model.
pub const MAX_ADAPTERS: usize = 1024;

/// Most plain services.
pub const MAX_SERVICES: usize = 512;

/// Most organisations.
pub const MAX_ORGANISATIONS: usize = 5000;

/// Most API keys of one organisation.
pub const MAX_KEYS: usize = 64;

/// Most repeatable methods of one service.
pub const MAX_REPEATABLE_METHODS: usize = 16;

/// Sheet numbers, up to the largest integer that JSON readers keep exact.
pub const NUMBER_RANGE: RangeInclusive<u64> = 1..=(1 << 53) - 1;

/// Priorities.
pub const PRIORITY_RANGE: RangeInclusive<u64> = 0..=u8::MAX as u64;

/// Waits in milliseconds, up to an hour.
pub const MAX_WAIT_MS_RANGE: RangeInclusive<u64> = 1..=3_600_000;

/// Memory of a target in tokens.
pub const MEMORY_TOKENS_RANGE: RangeInclusive<u64> = 0..=1_000_000_000;

/// Tokens a minute; the peak expected for all organisations together is 396 million.
pub const TOKENS_PER_MINUTE_RANGE: RangeInclusive<u64> = 1..=10_000_000_000;

/// Requests a minute; the peak expected for all organisations together is 1.08 million.
pub const REQUESTS_PER_MINUTE_RANGE: RangeInclusive<u64> = 1..=100_000_000;
