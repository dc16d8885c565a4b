//! Unpredictable nonces. A control machine that could predict a nonce could ask the council in advance and
//! present old answers as new.

/// Generates nonces from a secret seed.
#[derive(Clone, Debug)]
pub struct NonceGenerator {
    seed: u64,
    count: u64,
}

impl NonceGenerator {
    /// Creates a generator; the same seed gives the same nonces.
    pub fn new(seed: u64) -> Self {
        Self { seed, count: 0 }
    }

    /// The next nonce.
    pub fn next_nonce(&mut self) -> u64 {
        self.count += 1;
        let mut hasher = blake3::Hasher::new_derive_key("frostthread distribution 1 nonce");
        hasher.update(&self.seed.to_le_bytes()).update(&self.count.to_le_bytes());
        u64::from_le_bytes(hasher.finalize().as_bytes()[..8].try_into().expect("eight bytes"))
    }
}
