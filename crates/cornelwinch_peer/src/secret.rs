use std::fmt;

const KEY_CONTEXT: &str = "cornelwinch 2026-12 peer handshake key";

/// Key shared by the hosts of one deployment; its text is never shown.
#[derive(Clone)]
pub struct Secret {
    key: [u8; 32],
}

impl Secret {
    /// Derives the key from the deployment's name and secret text.
    pub fn derive(deployment: &str, secret: &[u8]) -> Self {
        let mut material = deployment.as_bytes().to_vec();
        material.push(0);
        material.extend_from_slice(secret);
        Self {
            key: blake3::derive_key(KEY_CONTEXT, &material),
        }
    }

    /// Keyed hash over the parts; each part is preceded by its length, so that
    /// different parts never give the same input.
    pub(crate) fn mac(&self, parts: &[&[u8]]) -> blake3::Hash {
        let mut hasher = blake3::Hasher::new_keyed(&self.key);
        for part in parts {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        hasher.finalize()
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}
