//! The greeting and the password: the server says a salt and how often to hash, the client says the hash.

use crate::command::Hello;
use crate::words::Answer;
use serde_json::json;
use sha2::{Digest, Sha256};

/// The version of the protocol that is spoken here.
const VERSION: u64 = 2;

/// The hash that a client owes: of password and salt, and then of itself, so often in all.
pub fn password_hash(password: &str, salt: &str, iterations: u32) -> String {
    let first = Sha256::digest([password.as_bytes(), salt.as_bytes()].concat());
    let hash = (1..iterations.max(1)).fold(first, |hash, _| Sha256::digest(hash));
    hex::encode(hash)
}

/// What one connection is greeted with.
#[derive(Clone, Debug)]
pub struct Greeting {
    /// The salt, how often to hash, and the hash that is owed; `None` where there is no password.
    secret: Option<(String, u32, String)>,
}

impl Greeting {
    pub fn open() -> Greeting {
        Greeting { secret: None }
    }

    pub fn with(password: &str, salt: &str, iterations: u32) -> Greeting {
        let owed = password_hash(password, salt, iterations);
        Greeting { secret: Some((salt.to_owned(), iterations, owed)) }
    }

    pub fn says(&self) -> Answer {
        let body = match &self.secret {
            Some((salt, iterations, _)) => json!({"v": VERSION, "i": iterations, "s": salt}),
            None => json!({"v": VERSION}),
        };
        Answer::Hi(body.to_string())
    }

    /// Whether a client's word is good; else what it is told.
    pub fn admits(&self, hello: &Hello) -> Result<(), String> {
        if hello.version != VERSION {
            return Err(format!("protocol version {VERSION} is spoken here, not {}", hello.version));
        }
        let Some((_, _, owed)) = &self.secret else { return Ok(()) };
        let said = hello.password_hash.as_deref().unwrap_or_default();
        // All of it is looked at, however early it differs: the time taken must not tell how much was right.
        let differs = said.len() != owed.len()
            || said.bytes().zip(owed.bytes()).fold(0, |differs, (a, b)| differs | (a ^ b)) != 0;
        if differs { Err("invalid password".to_owned()) } else { Ok(()) }
    }
}
