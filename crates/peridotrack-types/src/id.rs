//! Identifiers generated at run time, serialized as strings in a canonical form.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

/// Random identifier of one run of a router process, written as 16 hexadecimal digits.
///
/// A restarted process has a new incarnation, so that it never uses anything that was
/// granted to the previous one.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct Incarnation(pub u64);

/// Identifier of a request in responses, logs, usage records and the timeline.
///
/// It is written as `<incarnation>-<sequence>`.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct Request {
    /// Incarnation of the router that accepted the request.
    pub incarnation: Incarnation,
    /// Sequence number among the requests accepted by that incarnation, from 1.
    pub sequence: u64,
}

/// A text that could not be parsed as an identifier.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("malformed identifier {text:?}")]
pub struct Error {
    /// The text or, if only the incarnation of a request is malformed, that part of it.
    pub text: String,
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl fmt::Debug for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl FromStr for Incarnation {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let error = || Error {
            text: text.to_owned(),
        };
        if text.len() != 16 {
            return Err(error());
        }
        u64::from_str_radix(text, 16).map(Self).map_err(|_| error())
    }
}

impl From<Incarnation> for String {
    fn from(id: Incarnation) -> Self {
        id.to_string()
    }
}

impl TryFrom<String> for Incarnation {
    type Error = Error;

    fn try_from(text: String) -> Result<Self, Error> {
        text.parse()
    }
}

impl fmt::Display for Request {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.incarnation, self.sequence)
    }
}

impl fmt::Debug for Request {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl FromStr for Request {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let error = || Error {
            text: text.to_owned(),
        };
        let (incarnation, sequence) = text.split_once('-').ok_or_else(error)?;
        Ok(Self {
            incarnation: incarnation.parse()?,
            sequence: sequence.parse().map_err(|_| error())?,
        })
    }
}

impl From<Request> for String {
    fn from(id: Request) -> Self {
        id.to_string()
    }
}

impl TryFrom<String> for Request {
    type Error = Error;

    fn try_from(text: String) -> Result<Self, Error> {
        text.parse()
    }
}
