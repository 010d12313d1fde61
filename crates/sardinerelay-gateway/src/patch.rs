//! The difference of two texts, as the pieces of the old one that the new one still contains and
//! what is new between them.
//!
//! Pieces are found by chunks whose boundaries follow from the content, so an insertion moves no
//! boundary far behind it. See `docs/design/configuration.md`.

use {
    bytes::Bytes,
    fastcdc::v2020::FastCDC,
    serde::{Deserialize, Serialize},
    std::collections::HashMap,
    thiserror::Error as ThisError,
};

/// Sizes of chunks in bytes, of which the second is the average. They are the smallest that the
/// chunker allows, because one changed route makes one or two chunks new.
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
