//! Differences between two versions of a document.

use xxhash_rust::xxh3::xxh3_64;

/// The one replaced span between two versions of a document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Edit {
    /// Bytes kept from the start of the old version.
    pub prefix_len: usize,
    /// Bytes kept from the end of the old version.
    pub suffix_len: usize,
    /// Bytes between the two in the new version.
    pub insert: Vec<u8>,
    /// XXH3 of the new version.
    pub digest: u64,
}

/// An edit does not fit the old version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EditError {
    /// The edit keeps more bytes than the old version has.
    #[error("the edit keeps {kept} bytes of a document that has {size}")]
    TooLong {
        /// Bytes that the edit keeps.
        kept: usize,
        /// Bytes of the old version.
        size: usize,
    },
    /// The result does not match the digest of the new version.
    #[error("the edited document does not match the digest of the edit")]
    Digest,
}

impl Edit {
    /// Computes the edit that turns `old` into `new`.
    pub fn between(old: &[u8], new: &[u8]) -> Self {
        let prefix_len = common_prefix(old.iter(), new.iter());
        let (old_rest, new_rest) = (&old[prefix_len..], &new[prefix_len..]);
        let suffix_len = common_prefix(old_rest.iter().rev(), new_rest.iter().rev());
        Self {
            prefix_len,
            suffix_len,
            insert: new_rest[..new_rest.len() - suffix_len].to_vec(),
            digest: xxh3_64(new),
        }
    }

    /// Applies the edit to `old`.
    ///
    /// # Errors
    /// [`EditError`] if the edit was not made from `old`.
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

/// Length of the common prefix in bytes.
fn common_prefix<'a>(a: impl Iterator<Item = &'a u8>, b: impl Iterator<Item = &'a u8>) -> usize {
    a.zip(b).take_while(|(a, b)| a == b).count()
}
