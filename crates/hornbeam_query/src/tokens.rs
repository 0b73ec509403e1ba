//! Tokens that make it safe to resend a non-idempotent request.
//!
//! A token names the instance that issued it and the incarnation of that instance. Only the issuer
//! runs a request that carries the token, and it stores the use until the token expires. Therefore
//! a resent request cannot run twice, not even on both sides of a partition, and the instances need
//! no consensus on tokens.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use hornbeam_model::{Incarnation, InstanceId, Mono};
use indexmap::IndexMap;
use smol_str::SmolStr;
use snafu::Snafu;

/// Time for which a token is valid after it was issued.
pub const TOKEN_TTL: Duration = Duration::from_secs(600);
/// Maximum number of tokens that one request can obtain.
pub const MAX_TOKENS_PER_REQUEST: u32 = 1_000;
/// Maximum number of valid tokens per instance.
pub const MAX_VALID_TOKENS: u64 = 1_000_000;

/// A token; its text form is `instance~incarnation~number~tag`.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Token {
    /// The instance that issued it.
    pub instance: InstanceId,
    /// Incarnation of the issuer.
    pub incarnation: Incarnation,
    /// Number of the token within that incarnation.
    pub number: u64,
    /// Keyed hash of the other fields, which proves that the token was issued by this system.
    pub tag: SmolStr,
}

/// The text of a token cannot be parsed.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(display("the token is malformed: send it exactly as /v1/tokens returned it"))]
pub struct TokenError;

impl fmt::Display for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}~{}~{}~{}", self.instance, self.incarnation, self.number, self.tag)
    }
}

impl FromStr for Token {
    type Err = TokenError;

    fn from_str(text: &str) -> Result<Self, TokenError> {
        let parts: Vec<&str> = text.split('~').collect();
        let [instance, incarnation, number, tag] = parts[..] else { return Err(TokenError) };
        if tag.len() > 64 {
            return Err(TokenError);
        }
        Ok(Self {
            instance: instance.parse().map_err(|_| TokenError)?,
            incarnation: incarnation.parse().map_err(|_| TokenError)?,
            number: number.parse().map_err(|_| TokenError)?,
            tag: SmolStr::new(tag),
        })
    }
}

/// Action of the issuer on a request that carries a token.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TokenUse<T> {
    /// First use: run the request, then call [`TokenStore::record_response`] or
    /// [`TokenStore::release`].
    Run,
    /// The request is running: wait for its response.
    Running,
    /// The request has ended: send its first response again.
    Answered(T),
    /// The token was not issued by this incarnation or has expired: do not run the request.
    Unknown,
}

/// State of a used token.
#[derive(Clone, Debug)]
enum TokenState<T> {
    Running,
    Answered(T),
}

/// Tokens issued by one request.
#[derive(Clone, Copy, Debug)]
struct Batch {
    first: u64,
    count: u64,
    expires: Mono,
}

/// Tokens of one incarnation of one instance; `T` is the response that is stored for resent
/// requests.
#[derive(Debug)]
pub struct TokenStore<T> {
    next: u64,
    /// Batches in ascending order of their numbers, without gaps; the oldest expires first.
    batches: Vec<Batch>,
    /// Used tokens that have not expired, by number.
    used: IndexMap<u64, TokenState<T>>,
}

impl<T: Clone> Default for TokenStore<T> {
    fn default() -> Self {
        Self { next: 1, batches: Vec::new(), used: IndexMap::new() }
    }
}

impl<T: Clone> TokenStore<T> {
    /// Issues `count` tokens; returns their numbers, or `None` if more than [`MAX_VALID_TOKENS`]
    /// tokens would be valid.
    pub fn issue(&mut self, now: Mono, count: u64) -> Option<std::ops::Range<u64>> {
        self.expire(now);
        let valid: u64 = self.batches.iter().map(|b| b.count).sum();
        if valid + count > MAX_VALID_TOKENS {
            return None;
        }
        let first = self.next;
        self.next += count;
        self.batches.push(Batch { first, count, expires: now + TOKEN_TTL });
        Some(first..self.next)
    }

    /// Begins the use of token `number`; returns what to do with the request.
    pub fn begin(&mut self, now: Mono, number: u64) -> TokenUse<T> {
        self.expire(now);
        let issued = self.batches.iter().any(|b| (b.first..b.first + b.count).contains(&number));
        if !issued {
            return TokenUse::Unknown;
        }
        match self.used.get(&number) {
            Some(TokenState::Running) => TokenUse::Running,
            Some(TokenState::Answered(answer)) => TokenUse::Answered(answer.clone()),
            None => {
                self.used.insert(number, TokenState::Running);
                TokenUse::Run
            }
        }
    }

    /// Stores the response to a request that ran or may have run.
    pub fn record_response(&mut self, number: u64, answer: T) {
        if let Some(state) = self.used.get_mut(&number) {
            *state = TokenState::Answered(answer);
        }
    }

    /// Releases a token whose request was confirmed as not run, so that the request can be resent.
    pub fn release(&mut self, number: u64) {
        self.used.swap_remove(&number);
    }

    /// Removes expired tokens.
    fn expire(&mut self, now: Mono) {
        let expired = self.batches.iter().take_while(|b| b.expires <= now).count();
        for batch in self.batches.drain(..expired) {
            for number in batch.first..batch.first + batch.count {
                self.used.swap_remove(&number);
            }
        }
    }
}
