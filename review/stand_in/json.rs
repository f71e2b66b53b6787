//! Finds fields of JSON objects as text; the stand-ins need no more.

/// Returns the text of a field of a JSON object.
pub fn field(text: &str, name: &str) -> Option<String> {
    let bytes = text.as_bytes();
    let mut at = text.find('{')? + 1;
    loop {
        at = skip_space(bytes, at);
        if bytes.get(at) != Some(&b'"') {
            return None;
        }
        let key_end = value_end(bytes, at);
        let key = unquote(&text[at..key_end]);
        at = skip_space(bytes, key_end);
        if bytes.get(at) != Some(&b':') {
            return None;
        }
        at = skip_space(bytes, at + 1);
        let end = value_end(bytes, at);
        if key == name {
            return Some(text[at..end].trim().to_owned());
        }
        at = skip_space(bytes, end);
        if bytes.get(at) != Some(&b',') {
            return None;
        }
        at += 1;
    }
}

fn skip_space(bytes: &[u8], mut at: usize) -> usize {
    while bytes.get(at).is_some_and(u8::is_ascii_whitespace) {
        at += 1;
    }
    at
}

/// Returns the end of the value that starts at `at`.
fn value_end(bytes: &[u8], mut at: usize) -> usize {
    let mut depth = 0;
    let mut is_text = false;
    while at < bytes.len() {
        let byte = bytes[at];
        if is_text {
            match byte {
                b'\\' => at += 1,
                b'"' => {
                    is_text = false;
                    if depth == 0 {
                        return at + 1;
                    }
                }
                _ => {}
            }
        } else {
            match byte {
                b'"' => is_text = true,
                b'{' | b'[' => depth += 1,
                b'}' | b']' if depth == 0 => return at,
                b'}' | b']' => {
                    depth -= 1;
                    if depth == 0 {
                        return at + 1;
                    }
                }
                b',' if depth == 0 => return at,
                _ => {}
            }
        }
        at += 1;
    }
    at.min(bytes.len())
}

pub fn quote(text: &str) -> String {
    format!("\"{}\"", text.replace('\\', "\\\\").replace('"', "\\\""))
}

pub fn unquote(text: &str) -> String {
    text.trim().trim_matches('"').replace("\\\"", "\"")
}
