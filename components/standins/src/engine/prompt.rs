//! Prompts, their tokens and the deterministic answer to each.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

/// One message of a prompt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptMessage {
    /// Role of the author, such as `user` or `assistant`.
    pub role: String,
    /// Text of the message.
    pub content: String,
}

/// Returns the hash of a prompt: xxh3 of all contents, as 16 hexadecimal digits.
pub fn prompt_hash(messages: &[PromptMessage]) -> String {
    let mut hasher = Xxh3::new();
    for message in messages {
        hasher.update(message.content.as_bytes());
    }
    format!("{:016x}", hasher.digest())
}

/// Returns the number of tokens of a text: its words, separated by white space.
pub fn count_tokens(text: &str) -> u64 {
    text.split_whitespace().count() as u64
}

/// Returns the length of the answer in tokens that the last message requests with `[tokens=N]`.
pub(crate) fn requested_tokens(messages: &[PromptMessage]) -> Option<u64> {
    let content = &messages.last()?.content;
    let (_, suffix) = content.rsplit_once("[tokens=")?;
    suffix.split_once(']')?.0.parse().ok()
}

/// Returns the complete answer of `tokens` tokens to the prompt whose hash is `hash`.
pub fn expected_answer(hash: &str, tokens: u64) -> String {
    (0..tokens).map(|index| answer_token(hash, index)).collect()
}

/// Returns one token of an answer: a word, which for the first token contains the hash, and a space.
pub(crate) fn answer_token(hash: &str, index: u64) -> String {
    if index == 0 {
        format!("re-{hash} ")
    } else {
        format!("w{index} ")
    }
}

/// Running digest of the first tokens of a text, which identifies a cached prefix.
#[derive(Clone, Default)]
pub(crate) struct TokenDigest {
    hasher: Xxh3,
    tokens: u64,
}

impl TokenDigest {
    /// Adds all words of a text.
    pub(crate) fn update(&mut self, text: &str) {
        for word in text.split_whitespace() {
            self.push(word);
        }
    }

    /// Adds one word.
    pub(crate) fn push(&mut self, word: &str) {
        self.hasher.update(word.as_bytes());
        self.hasher.update(b" ");
        self.tokens += 1;
    }

    /// Returns the number of words added.
    pub(crate) const fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Returns the digest of the words added.
    pub(crate) fn digest(&self) -> u64 {
        self.hasher.digest()
    }
}
