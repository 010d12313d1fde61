//! The newest configuration and how it came about, for entry hosts that hold an earlier one.

use {
    super::{Content, Digest, Fetch, Piece, Stamp, TransferId},
    crate::{group::Document, patch::Patch},
    bytes::Bytes,
    flate2::{Compression, write::DeflateEncoder},
    log::warn,
    sardinerelayd::peer::Packed,
    sha2::{Digest as _, Sha256},
    std::{
        collections::VecDeque,
        io::{self, Write as _},
    },
};

/// Bytes that the patches of earlier versions may take. A longer way back is no shorter than the text.
const MAX_PATCH_BYTES: usize = 2 << 20;
/// Number of patches that are kept.
const MAX_PATCHES: usize = 1024;
/// Largest size of a piece in bytes. What a host needs meanwhile waits on its link behind one piece.
pub const MAX_PIECE_BYTES: usize = 32 << 10;
/// Number of encoded transfers that are kept. Hosts that were away and those that fetch an earlier
/// version still need some beside the usual one.
const MAX_TRANSFERS: usize = 8;

/// How the configuration became another one.
#[derive(Debug)]
struct Step {
    from: Stamp,
    patch: Patch,
}

/// A newer configuration, and how it came about. Making one takes longer the longer the text is.
#[derive(Debug)]
pub struct Change {
    newest: (Stamp, Bytes),
    step: Option<Step>,
}

impl Change {
    /// Returns the change from the previous configuration to `document`, none if that is no newer.
    pub fn new(previous: Option<(Stamp, Bytes)>, document: &Document) -> Option<Self> {
        if previous
            .as_ref()
            .is_some_and(|(previous, _)| previous.version >= document.version)
        {
            return None;
        }
        let step = previous.map(|(from, text)| Step {
            from,
            patch: Patch::between(&text, &document.body),
        });
        Some(Self {
            newest: (Stamp::of(document), document.body.clone()),
            step,
        })
    }
}

/// An encoded transfer.
#[derive(Debug)]
struct Transfer {
    base: Option<Stamp>,
    stamp: Stamp,
    id: TransferId,
    bytes: Bytes,
}

/// The newest configuration, the changes that led to it, and what was sent last.
#[derive(Debug, Default)]
pub struct History {
    newest: Option<(Stamp, Bytes)>,
    steps: VecDeque<Step>,
    step_bytes: usize,
    /// Those that were asked for last come last.
    transfers: VecDeque<Transfer>,
}

impl History {
    /// Adds a newer configuration. One that isn't newer changes nothing.
    pub fn push(&mut self, document: &Document) {
        if let Some(change) = Change::new(self.newest.clone(), document) {
            self.add(change);
        }
    }

    /// Adds a change that was made of the newest configuration.
    pub fn add(&mut self, change: Change) {
        self.newest = Some(change.newest);
        let Some(step) = change.step else {
            return;
        };
        self.step_bytes += step.patch.bytes();
        self.steps.push_back(step);
        while self.step_bytes > MAX_PATCH_BYTES || self.steps.len() > MAX_PATCHES {
            let Some(oldest) = self.steps.pop_front() else {
                return;
            };
            self.step_bytes -= oldest.patch.bytes();
        }
    }

    /// Returns the newest configuration's stamp and text.
    pub fn newest_text(&self) -> Option<(Stamp, Bytes)> {
        self.newest.clone()
    }

    /// Returns the newest configuration's stamp.
    pub fn newest(&self) -> Option<Stamp> {
        self.newest.as_ref().map(|(stamp, _)| *stamp)
    }

    /// Returns the requested piece, none if the host holds the newest configuration or a newer one.
    ///
    /// # Errors
    ///
    /// Returns the error if a transfer can't be encoded.
    pub fn piece(&mut self, fetch: &Fetch) -> io::Result<Option<Piece>> {
        let index = match self.find(|transfer| Some(transfer.id) == fetch.transfer) {
            Some(index) => index,
            None => match self.prepare(fetch.base)? {
                Some(index) => index,
                None => return Ok(None),
            },
        };
        // Another host may have encoded the same bytes.
        let is_begun = Some(self.transfers[index].id) == fetch.transfer;
        let offset = if is_begun { fetch.offset } else { 0 };
        Ok(self.cut(index, offset, fetch.max_bytes))
    }

    fn find<Condition>(&self, condition: Condition) -> Option<usize>
    where
        Condition: Fn(&Transfer) -> bool,
    {
        self.transfers.iter().position(condition)
    }

    /// Returns the position of the transfer from `base` to the newest configuration, none if `base` is
    /// no older.
    fn prepare(&mut self, base: Option<Stamp>) -> io::Result<Option<usize>> {
        let Some((stamp, text)) = self.newest.clone() else {
            return Ok(None);
        };
        if base.is_some_and(|base| base.version >= stamp.version) {
            return Ok(None);
        }
        let is_same = |transfer: &Transfer| transfer.base == base && transfer.stamp == stamp;
        match self.find(is_same) {
            Some(index) => Ok(Some(index)),
            None => self.encode(base, (stamp, text)).map(Some),
        }
    }

    /// Returns a piece of a transfer, which thereby is the last to be dropped.
    fn cut(&mut self, index: usize, offset: usize, max_bytes: usize) -> Option<Piece> {
        let transfer = self.transfers.remove(index)?;
        let start = offset.min(transfer.bytes.len());
        let length = max_bytes.clamp(1, MAX_PIECE_BYTES);
        let end = transfer.bytes.len().min(start + length);
        let piece = Piece {
            stamp: transfer.stamp,
            transfer: transfer.id,
            total: transfer.bytes.len(),
            offset: start,
            bytes: Packed(transfer.bytes.slice(start..end)),
        };
        self.transfers.push_back(transfer);
        Some(piece)
    }

    /// Encodes the transfer for hosts that hold `base`. Returns its position.
    fn encode(&mut self, base: Option<Stamp>, (stamp, text): (Stamp, Bytes)) -> io::Result<usize> {
        let content = match self.patches_since(base) {
            Some(patches) => Content::Patches(patches),
            None => Content::Whole(text),
        };
        let encoded = postcard::to_stdvec(&content).map_err(io::Error::other)?;
        let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
        encoder.write_all(&encoded)?;
        let bytes = Bytes::from(encoder.finish()?);
        let digest: Digest = Sha256::digest(&bytes).into();
        let id = digest.first_chunk().copied().unwrap_or_default();
        if self.transfers.len() >= MAX_TRANSFERS {
            self.transfers.pop_front();
        }
        self.transfers.push_back(Transfer {
            base,
            stamp,
            id: TransferId::from_le_bytes(id),
            bytes,
        });
        Ok(self.transfers.len() - 1)
    }

    /// Returns the patches that lead from `base` to the newest configuration. Returns none if it is
    /// too long ago, or is another text under the same version.
    fn patches_since(&self, base: Option<Stamp>) -> Option<Vec<Patch>> {
        let base = base?;
        let first = self
            .steps
            .iter()
            .position(|step| step.from.version == base.version)?;
        if self.steps[first].from != base {
            warn!(version = base.version; "an entry host holds another text of this version");
            return None;
        }
        let steps = self.steps.iter().skip(first);
        Some(steps.map(|step| step.patch.clone()).collect())
    }
}
