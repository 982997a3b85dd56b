//! Tickets: idempotency keys that name the agent incarnation which may run the call.

use hmac::Hmac;
use hmac::KeyInit;
use hmac::Mac;
use sha2::Sha256;

use crate::prelude::*;

/// First field of a ticket's text; a new format gets a new one.
const FORMAT: &str = "cq1";

/// Fields of a ticket's text, the agent's name included.
const FIELDS: usize = 6;

/// Bytes of the signature that are kept.
///
/// 128 bits are more than can be guessed online and keep the header short.
const SIGNATURE_BYTES: usize = 16;

/// Longest ticket text that is looked at, in bytes.
const MAX_TEXT: usize = 512;

/// Longest name of an agent, in bytes.
const MAX_NAME: usize = 255;

/// Key with which tickets are signed.
///
/// All entries and agents share it. With an empty secret the signature still
/// finds damaged tickets but a caller can make its own.
#[derive(Clone)]
pub struct Secret(Hmac<Sha256>);

impl std::fmt::Debug for Secret {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Secret")
    }
}

impl Secret {
    /// A key from the `secret` setting.
    pub fn new(text: &str) -> Secret {
        // HMAC takes keys of any length, so this cannot fail.
        #[expect(clippy::expect_used, reason = "HMAC accepts every key length")]
        let mac = Hmac::new_from_slice(text.as_bytes()).expect("any key length is valid");
        Secret(mac)
    }

    fn sign(&self, text: &str) -> String {
        let mut mac = self.0.clone();
        mac.update(text.as_bytes());
        hex::encode(&mac.finalize().into_bytes()[..SIGNATURE_BYTES])
    }

    fn verify(&self, text: &str, signature: &[u8]) -> bool {
        let mut mac = self.0.clone();
        mac.update(text.as_bytes());
        signature.len() == SIGNATURE_BYTES && mac.verify_truncated_left(signature).is_ok()
    }
}

common! { value
/// Names one call that may not be repeated, and its only possible executor.
#[derive(Eq, Hash)]
pub struct Ticket {
    /// Name of the agent that may run the call.
    pub agent: String,
    /// Incarnation of that agent.
    pub incarnation: u64,
    /// When the ticket was minted, by the minting entry's clock.
    pub minted: Millis,
    /// Random part.
    pub nonce: u128,
}
}

impl Ticket {
    /// A fresh ticket for an agent's current incarnation.
    pub fn mint(agent: &str, incarnation: u64, now: Millis, rng: &mut fastrand::Rng) -> Ticket {
        Ticket {
            agent: agent.to_string(),
            incarnation,
            minted: now,
            nonce: rng.u128(..),
        }
    }

    /// Text form, as callers hold it.
    ///
    /// # Panics
    ///
    /// When the agent's name is not 1 to 255 visible ASCII characters, since the
    /// text is sent in a header.
    pub fn encode(&self, secret: &Secret) -> String {
        assert!(is_name(&self.agent), "agent name {:?}", self.agent);
        let text = self.signed_text();
        let signature = secret.sign(&text);
        format!("{text}.{signature}")
    }

    /// Reads and verifies the text form.
    pub fn parse(text: &str, secret: &Secret) -> Result<Ticket> {
        let ticket = split(text).ok_or_else(|| Error::new(Code::TicketRequired, "not a ticket"))?;
        let (signed, signature) = text.rsplit_once('.').unwrap_or_default();
        let signature = hex::decode(signature).unwrap_or_default();
        if !secret.verify(signed, &signature) || ticket.signed_text() != signed {
            return Err(Error::new(Code::TicketInvalid, "signature is wrong"));
        }
        Ok(ticket)
    }

    fn signed_text(&self) -> String {
        format!(
            "{FORMAT}.{}.{:x}.{:x}.{:032x}",
            self.agent, self.incarnation, self.minted.0, self.nonce
        )
    }
}

/// Splits from the right, because names of agents may contain dots.
fn split(text: &str) -> Option<Ticket> {
    if text.len() > MAX_TEXT {
        return None;
    }
    let mut fields = text.rsplitn(FIELDS - 1, '.');
    let _signature = fields.next()?;
    let nonce = u128::from_str_radix(fields.next()?, 16).ok()?;
    let minted = u64::from_str_radix(fields.next()?, 16).ok()?;
    let incarnation = u64::from_str_radix(fields.next()?, 16).ok()?;
    let (format, agent) = fields.next()?.split_once('.')?;
    if format != FORMAT || !is_name(agent) {
        return None;
    }
    Some(Ticket {
        agent: agent.to_string(),
        incarnation,
        minted: Millis(minted),
        nonce,
    })
}

/// True for names that a ticket can carry.
pub fn is_name(name: &str) -> bool {
    (1..=MAX_NAME).contains(&name.len()) && name.bytes().all(|b| b.is_ascii_graphic())
}
