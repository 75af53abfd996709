//! Shared secret by which the processes of the fleet authenticate each other.

use std::env;
use std::fmt;

use subtle::ConstantTimeEq as _;

/// Environment variable with the fleet's secret.
pub const SECRET_VARIABLE: &str = "CHIVEBEND_SECRET";

/// Minimum length of a secret, in bytes. 16 random bytes cannot be guessed over a network.
const MIN_SECRET_BYTES: usize = 16;

/// Maximum number of secrets: the new one and the old one, during rotation.
const MAX_SECRETS: usize = 2;

/// Secret of the fleet, or two secrets during rotation. Secrets are never printed.
#[derive(Clone, Default, PartialEq, Eq)]
pub struct Secret(Vec<String>);

impl Secret {
    /// Reads `CHIVEBEND_SECRET`: one secret, or two separated by a comma.
    pub fn from_environment() -> Self {
        Self::from_text(&env::var(SECRET_VARIABLE).unwrap_or_default())
    }

    /// Parses secrets separated by commas.
    pub fn from_text(text: &str) -> Self {
        let parts = text.split(',').map(str::trim);
        Self(
            parts
                .filter(|part| !part.is_empty())
                .map(String::from)
                .collect(),
        )
    }

    /// Returns the secret to send to other processes, which is the first one.
    pub fn outgoing(&self) -> &str {
        self.0.first().map_or("", String::as_str)
    }

    /// Returns whether a secret presented by another process is accepted. Each comparison takes
    /// constant time.
    pub fn accepts(&self, presented: &str) -> bool {
        let same = |secret: &String| secret.as_bytes().ct_eq(presented.as_bytes());
        self.0
            .iter()
            .fold(subtle::Choice::from(0), |any, secret| any | same(secret))
            .into()
    }

    /// Returns why the secret is invalid, if it is. The text does not reveal the secret.
    pub(super) fn fault(&self) -> Option<String> {
        if self.0.is_empty() {
            return Some("it is missing".into());
        }
        if self.0.len() > MAX_SECRETS {
            return Some(format!(
                "it holds {} secrets, at most {MAX_SECRETS} are allowed",
                self.0.len()
            ));
        }
        if self.0.iter().any(|secret| secret.len() < MIN_SECRET_BYTES) {
            return Some(format!("a secret is shorter than {MIN_SECRET_BYTES} bytes"));
        }
        // The secret is sent in a header.
        let is_ascii_graphic = |secret: &String| secret.bytes().all(|byte| byte.is_ascii_graphic());
        (!self.0.iter().all(is_ascii_graphic)).then(|| {
            "a secret contains characters other than ASCII letters, digits and punctuation".into()
        })
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Secret({} hidden)", self.0.len())
    }
}
