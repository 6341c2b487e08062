//! What changed between two versions of a document.

use xxhash_rust::xxh3::xxh3_64;

/// The one changed span between two versions of a document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Edit {
    /// Bytes kept from the front of the old version.
    pub prefix_len: usize,
    /// Bytes kept from the back of the old version.
    pub suffix_len: usize,
    /// What stands between them in the new version.
    pub insert: Vec<u8>,
    /// XXH3 of the whole new version.
    pub digest: u64,
}

/// An edit does not fit the version that it is applied to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EditError {
    /// The edit keeps more bytes than there are.
    #[error("the edit keeps {kept} of {size} bytes")]
    TooLong {
        /// Bytes that the edit keeps.
        kept: usize,
        /// Bytes that there are.
        size: usize,
    },
    /// The result is not the version that the edit was made for.
    #[error("the edited document has another digest")]
    Digest,
}

impl Edit {
    /// The edit that makes `new` of `old`.
    pub fn between(old: &[u8], new: &[u8]) -> Self {
        let prefix_len = common(old.iter(), new.iter());
        let (old_rest, new_rest) = (&old[prefix_len..], &new[prefix_len..]);
        let suffix_len = common(old_rest.iter().rev(), new_rest.iter().rev());
        Self {
            prefix_len,
            suffix_len,
            insert: new_rest[..new_rest.len() - suffix_len].to_vec(),
            digest: xxh3_64(new),
        }
    }

    /// Makes the new version of the old one.
    ///
    /// # Errors
    /// [`EditError`] when `old` is not what the edit was made from.
    pub fn apply(&self, old: &[u8]) -> Result<Vec<u8>, EditError> {
        let kept = self.prefix_len.saturating_add(self.suffix_len);
        if kept > old.len() {
            let size = old.len();
            return Err(EditError::TooLong { kept, size });
        }
        let suffix = &old[old.len() - self.suffix_len..];
        let new = [&old[..self.prefix_len], &self.insert, suffix].concat();
        if xxh3_64(&new) != self.digest {
            return Err(EditError::Digest);
        }
        Ok(new)
    }
}

fn common<'a>(a: impl Iterator<Item = &'a u8>, b: impl Iterator<Item = &'a u8>) -> usize {
    a.zip(b).take_while(|(a, b)| a == b).count()
}
