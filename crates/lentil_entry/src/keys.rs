//! API keys of teams.

use lentil_config::Config;
use lentil_types::TeamName;
use sha2::Digest as _;
use subtle::ConstantTimeEq as _;

/// Bytes of a SHA-256 digest.
const DIGEST_BYTES: usize = 32;
/// Leading bytes of a digest that index the table. Only their comparison takes a
/// time that depends on the key.
const INDEX_BYTES: usize = 2;

type KeyDigest = [u8; DIGEST_BYTES];

/// Digests of every team's API keys, sorted.
#[derive(Debug)]
pub(crate) struct Keys {
    rows: Vec<(KeyDigest, TeamName)>,
}

impl Keys {
    /// The keys of a configuration. A hash that is not 64 hexadecimal digits
    /// matches no key.
    pub(crate) fn new(config: &Config) -> Self {
        let of_team = |team: &lentil_config::Team| {
            let name = team.name.clone();
            let digests: Vec<_> = team.keys.iter().filter_map(|key| digest(&key.0)).collect();
            digests
                .into_iter()
                .map(move |digest| (digest, name.clone()))
        };
        let mut rows: Vec<_> = config.teams.iter().flat_map(of_team).collect();
        rows.sort();
        Self { rows }
    }

    /// The team that an API key belongs to.
    pub(crate) fn team(&self, key: &str) -> Option<&TeamName> {
        let digest = KeyDigest::from(sha2::Sha256::digest(key.as_bytes()));
        let index = &digest[..INDEX_BYTES];
        let start = self
            .rows
            .partition_point(|(row, _)| &row[..INDEX_BYTES] < index);
        let bucket = self.rows[start..]
            .iter()
            .take_while(|(row, _)| &row[..INDEX_BYTES] == index);
        let mut found = None;
        for (row, team) in bucket {
            if bool::from(row.ct_eq(&digest)) {
                found = Some(team);
            }
        }
        found
    }
}

fn digest(hex: &str) -> Option<KeyDigest> {
    if hex.len() != 2 * DIGEST_BYTES || !hex.is_ascii() {
        return None;
    }
    let mut digest = KeyDigest::default();
    for (index, byte) in digest.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&hex[2 * index..2 * index + 2], 16).ok()?;
    }
    Some(digest)
}
