//! Helpers for digests, hashes and locks.

use std::sync::Mutex;
use std::sync::MutexGuard;

use sha2::Digest as _;
use sha2::Sha256;

/// Prefix of every content digest.
const DIGEST_PREFIX: &str = "sha256:";

/// Returns the SHA-256 digest of `bytes` as `sha256:` and 64 hex digits.
pub fn digest(bytes: impl AsRef<[u8]>) -> String {
    format!("{DIGEST_PREFIX}{}", hex::encode(Sha256::digest(bytes)))
}

/// Returns true for `sha256:` and 64 lower-case hex digits.
pub fn is_digest(text: &str) -> bool {
    let Some(rest) = text.strip_prefix(DIGEST_PREFIX) else {
        return false;
    };
    rest.len() == 64
        && rest
            .bytes()
            .all(|b| b.is_ascii_digit() || (b'a'..=b'f').contains(&b))
}

/// Returns a 64-bit hash of the parts that is the same in every process and build.
///
/// Processes must agree on the order that rendezvous hashing gives, and the
/// standard library does not guarantee the hashes of its hasher.
pub fn stable_hash<'a>(parts: impl IntoIterator<Item = &'a str>) -> u64 {
    let mut hash = 0xcbf2_9ce4_8422_2325_u64;
    for part in parts {
        for byte in part.bytes().chain([0xff]) {
            hash ^= u64::from(byte);
            hash = hash.wrapping_mul(0x0000_0100_0000_01b3);
        }
    }
    mix(hash)
}

/// Applies the finalizer of SplitMix64, as FNV-1a alone leaves the high bits poorly mixed.
pub fn mix(mut hash: u64) -> u64 {
    hash ^= hash >> 30;
    hash = hash.wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash ^= hash >> 27;
    hash = hash.wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}

/// Locks a mutex, even if a thread panicked while it held the lock.
///
/// The code that uses the state checks it.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}
