//! Tickets: idempotency keys that name the agent and the incarnation that may run the
//! call.

use hmac::Hmac;
use hmac::KeyInit;
use hmac::Mac;
use sha2::Sha256;

use crate::prelude::*;

/// First field of a ticket's text, which identifies the format.
const FORMAT: &str = "cq1";

/// Number of fields of a ticket's text, including the agent's name.
const FIELDS: usize = 6;

/// Bytes of the signature that are kept.
///
/// 128 bits cannot be guessed by sending requests, and keep the header short.
const SIGNATURE_BYTES: usize = 16;

/// Longest text that is parsed as a ticket, in bytes.
const MAX_TEXT: usize = 512;

/// Longest name of an agent, in bytes.
const MAX_NAME: usize = 255;

/// Key with which tickets are signed.
///
/// All entries and agents share it. With an empty secret, the signature still detects
/// damaged tickets, but callers can forge tickets.
#[derive(Clone)]
pub struct Secret(Hmac<Sha256>);

impl std::fmt::Debug for Secret {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Secret")
    }
}

impl Secret {
    /// Creates a key from the text of the `secret` setting.
    pub fn new(text: &str) -> Secret {
        // HMAC takes keys of any length, so this cannot fail.
        #[expect(clippy::expect_used, reason = "HMAC accepts every key length")]
        let mac = Hmac::new_from_slice(text.as_bytes()).expect("any key length is valid");
        Secret(mac)
    }

    /// Returns the signature of `text` in hexadecimal digits.
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
/// Identifies one call that must run at most once, and the only incarnation of an agent
/// that may run it.
#[derive(Eq, Hash)]
pub struct Ticket {
    /// Name of the agent that may run the call.
    pub agent: String,
    /// Incarnation of that agent; another one must not run the call.
    pub incarnation: u64,
    /// When the ticket was created, by the clock of the entry that created it.
    pub minted: Millis,
    /// Random number that distinguishes tickets created at the same time.
    pub nonce: u128,
}
}

impl Ticket {
    /// Creates a ticket for the current incarnation of an agent.
    pub fn mint(agent: &str, incarnation: u64, now: Millis, rng: &mut fastrand::Rng) -> Ticket {
        Ticket {
            agent: agent.to_string(),
            incarnation,
            minted: now,
            nonce: rng.u128(..),
        }
    }

    /// Returns the signed text form that callers get.
    ///
    /// # Panics
    ///
    /// When the agent's name is not 1 to 255 visible ASCII characters, since the text is
    /// sent in a header.
    pub fn encode(&self, secret: &Secret) -> String {
        assert!(is_name(&self.agent), "agent name {:?}", self.agent);
        let text = self.signed_text();
        let signature = secret.sign(&text);
        format!("{text}.{signature}")
    }

    /// Parses and verifies the text form.
    ///
    /// # Errors
    ///
    /// [`Code::TicketRequired`] when the text is not a ticket, and
    /// [`Code::TicketInvalid`] when its signature is wrong.
    pub fn parse(text: &str, secret: &Secret) -> Result<Ticket> {
        let ticket = split(text).ok_or_else(|| Error::new(Code::TicketRequired, "not a ticket"))?;
        let (signed, signature) = text.rsplit_once('.').unwrap_or_default();
        let signature = hex::decode(signature).unwrap_or_default();
        if !secret.verify(signed, &signature) || ticket.signed_text() != signed {
            return Err(Error::new(Code::TicketInvalid, "signature is wrong"));
        }
        Ok(ticket)
    }

    /// Returns the text that is signed: all fields but the signature.
    fn signed_text(&self) -> String {
        format!(
            "{FORMAT}.{}.{:x}.{:x}.{:032x}",
            self.agent, self.incarnation, self.minted.0, self.nonce
        )
    }
}

/// Splits the text into the fields of a ticket without verifying the signature. It splits
/// from the right, because names of agents may contain dots.
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

/// Returns true for names of agents that a ticket can carry.
pub fn is_name(name: &str) -> bool {
    (1..=MAX_NAME).contains(&name.len()) && name.bytes().all(|b| b.is_ascii_graphic())
}
