//! The difference of two texts, as the pieces of the old one that the new one still contains and
//! what is new between them.
//!
//! Pieces are found by chunks whose boundaries follow from the content, so an insertion moves no
//! boundary far behind it. Pieces are then extended byte by byte, so that only what differs is sent. See `docs/design/configuration.md`.

use {
    bytes::Bytes,
    fastcdc::v2020::FastCDC,
    serde::{Deserialize, Serialize},
    std::collections::HashMap,
    thiserror::Error as ThisError,
};

/// Sizes of chunks in bytes, of which the second is the average. They are the smallest that the
/// chunker allows, because a copy between two changes is found only if it contains a whole chunk.
const CHUNK_BYTES: [usize; 3] = [64, 256, 1024];

/// One part of the new text.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
enum Edit {
    /// A part of the old text.
    Copy {
        /// Position in the old text in bytes.
        offset: u32,
        /// Length in bytes.
        length: u32,
    },
    /// Bytes that are new.
    Insert(Bytes),
}

/// What makes a new text out of an old one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Patch(Vec<Edit>);

/// Why a patch can't be applied to a text.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ThisError)]
pub enum Error {
    /// The patch copies bytes that the old text doesn't have.
    #[error("the patch copies bytes {offset} to {end} of a text of {length} bytes")]
    OutOfRange {
        /// First byte that the patch copies.
        offset: usize,
        /// End of the bytes that it copies.
        end: usize,
        /// Length of the old text.
        length: usize,
    },
    /// The new text would be longer than the caller allows.
    #[error("the new text would have more than {0} bytes")]
    TooLong(usize),
}

impl Patch {
    /// Returns the patch that makes `new` out of `old`.
    pub fn between(old: &[u8], new: &Bytes) -> Self {
        let mut offsets = HashMap::new();
        for (offset, chunk) in chunks(old) {
            offsets.entry(chunk).or_insert(offset);
        }
        let mut patch = Self(Vec::new());
        for (offset, chunk) in chunks(new) {
            // The bytes after the last copy come first: a chunk may stand in several places.
            match patch
                .next_copied(old, chunk)
                .or_else(|| offsets.get(chunk).copied())
            {
                Some(source) => patch.copy(source, chunk.len()),
                None => patch.insert(new, offset, chunk.len()),
            }
        }
        let mut patch = patch.with_longest_copies(old);
        patch.detach();
        patch
    }

    /// Returns the new text.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] if `old` can't be the text that the patch was made for, or if the new
    /// text is longer than `max_bytes`.
    pub fn apply(&self, old: &[u8], max_bytes: usize) -> Result<Bytes, Error> {
        let mut new = Vec::with_capacity(old.len().min(max_bytes));
        for edit in &self.0 {
            let part = match edit {
                Edit::Insert(bytes) => bytes,
                Edit::Copy { offset, length } => {
                    let offset = *offset as usize;
                    let end = offset + *length as usize;
                    let length = old.len();
                    let range_error = Error::OutOfRange {
                        offset,
                        end,
                        length,
                    };
                    old.get(offset..end).ok_or(range_error)?
                }
            };
            if new.len() + part.len() > max_bytes {
                return Err(Error::TooLong(max_bytes));
            }
            new.extend_from_slice(part);
        }
        Ok(new.into())
    }

    /// Returns the number of bytes that the patch holds, roughly those of its encoding.
    pub fn bytes(&self) -> usize {
        let bytes = |edit: &Edit| match edit {
            Edit::Copy { .. } => size_of::<Edit>() / 4,
            Edit::Insert(bytes) => bytes.len() + 1,
        };
        self.0.iter().map(bytes).sum()
    }

    /// Returns the position after the last copy if the old text goes on with `chunk` there.
    fn next_copied(&self, old: &[u8], chunk: &[u8]) -> Option<usize> {
        let Some(Edit::Copy { offset, length }) = self.0.last() else {
            return None;
        };
        let next = *offset as usize + *length as usize;
        old[next..].starts_with(chunk).then_some(next)
    }

    fn copy(&mut self, source: usize, added: usize) {
        if let Some(Edit::Copy { offset, length }) = self.0.last_mut()
            && *offset as usize + *length as usize == source
        {
            *length += added as u32;
            return;
        }
        self.0.push(Edit::Copy {
            offset: source as u32,
            length: added as u32,
        });
    }

    /// Returns the patch with each copy extended to both sides, over the bytes of insertions that the old text has
    /// there too.
    ///
    /// A chunk is new if one byte of it is, and a change moves boundaries behind it until one follows that both
    /// texts share. That can be some thousand bytes later, or never before the end.
    fn with_longest_copies(self, old: &[u8]) -> Self {
        let empty_copy = |offset: usize| Edit::Copy {
            offset: offset as u32,
            length: 0,
        };
        // An insertion at either end has a copy beside it too, which may remain empty.
        let mut longest = Self(vec![empty_copy(0)]);
        for edit in self.0.into_iter().chain([empty_copy(old.len())]) {
            match edit {
                Edit::Copy { offset, length } => {
                    longest.copy_from_before(old, offset as usize, length as usize);
                }
                Edit::Insert(bytes) => longest.insert_the_rest(old, bytes),
            }
        }
        longest
            .0
            .retain(|edit| !matches!(edit, Edit::Copy { length: 0, .. }));
        longest
    }

    /// Adds a copy that begins earlier by what the insertion before it ends with.
    fn copy_from_before(&mut self, old: &[u8], offset: usize, length: usize) {
        let mut shared = 0;
        if let Some(Edit::Insert(bytes)) = self.0.last_mut() {
            shared = count_equal(old[..offset].iter().rev(), bytes.iter().rev());
            bytes.truncate(bytes.len() - shared);
            if bytes.is_empty() {
                self.0.pop();
            }
        }
        self.copy(offset - shared, shared + length);
    }

    /// Adds an insertion of what remains of `bytes` after the copy before it has been extended.
    fn insert_the_rest(&mut self, old: &[u8], bytes: Bytes) {
        let mut shared = 0;
        if let Some(Edit::Copy { offset, length }) = self.0.last_mut() {
            let end = *offset as usize + *length as usize;
            shared = count_equal(old[end..].iter(), bytes.iter());
            *length += shared as u32;
        }
        if shared < bytes.len() {
            self.0.push(Edit::Insert(bytes.slice(shared..)));
        }
    }

    /// Copies what is new, so that the patch doesn't keep the whole new text in memory.
    fn detach(&mut self) {
        for edit in &mut self.0 {
            if let Edit::Insert(bytes) = edit {
                *bytes = Bytes::copy_from_slice(bytes);
            }
        }
    }

    /// Adds bytes of the new text, which the last edit may end just before.
    fn insert(&mut self, new: &Bytes, offset: usize, added: usize) {
        let mut start = offset;
        if let Some(Edit::Insert(bytes)) = self.0.last() {
            start -= bytes.len();
            self.0.pop();
        }
        self.0.push(Edit::Insert(new.slice(start..offset + added)));
    }
}

/// Returns how many bytes at the start of both sequences are equal.
fn count_equal<'a>(
    left: impl Iterator<Item = &'a u8>,
    right: impl Iterator<Item = &'a u8>,
) -> usize {
    left.zip(right)
        .take_while(|(left, right)| left == right)
        .count()
}

/// Returns the chunks of a text with their positions. Texts are far shorter than 4 GiB.
fn chunks(text: &[u8]) -> impl Iterator<Item = (usize, &[u8])> {
    let [min, average, max] = CHUNK_BYTES;
    FastCDC::new(text, min, average, max).map(|chunk| {
        (
            chunk.offset,
            &text[chunk.offset..chunk.offset + chunk.length],
        )
    })
}
