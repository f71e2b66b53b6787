//! Converts text to tokens and back.
//!
//! Engines read and generate tokens. As long as engines provide no vocabulary, the tokens of a
//! prompt are its bytes, and a token of the answer is written as one word.

use std::sync::Arc;

use dandeliondeal_types::Token;

/// Returns the tokens of a prompt.
pub fn prompt_tokens(prompt: &str) -> Arc<[Token]> {
    prompt.bytes().map(Token::from).collect()
}

/// Returns the text of one token.
pub fn token_text(token: Token) -> String {
    format!("t{token} ")
}
