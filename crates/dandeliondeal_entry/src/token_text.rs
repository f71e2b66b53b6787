//! Text to tokens and back.
//!
//! Engines take and give tokens. Until an engine brings its own vocabulary, a prompt's tokens are
//! its bytes and a token of the answer is written as one word.

use std::sync::Arc;

use dandeliondeal_types::Token;

/// The tokens of a prompt.
pub fn prompt_tokens(prompt: &str) -> Arc<[Token]> {
    prompt.bytes().map(Token::from).collect()
}

/// The text of one token.
pub fn token_text(token: Token) -> String {
    format!("t{token} ")
}
