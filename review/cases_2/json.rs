//! Reads single fields of JSON objects as raw text.

/// Returns the raw value of a field of a JSON object.
pub fn field<'text>(object: &'text str, name: &str) -> Option<&'text str> {
    let bytes = object.as_bytes();
    let mut at = skip_space(bytes, 0);
    if bytes.get(at) != Some(&b'{') {
        return None;
    }
    at += 1;
    loop {
        at = skip_space(bytes, at);
        if bytes.get(at) != Some(&b'"') {
            return None;
        }
        let key_end = skip_value(bytes, at);
        let key = &object[at + 1..key_end - 1];
        at = skip_space(bytes, key_end);
        at = skip_space(bytes, at + 1);
        let end = skip_value(bytes, at);
        if key == name {
            return Some(&object[at..end]);
        }
        at = skip_space(bytes, end);
        if bytes.get(at) != Some(&b',') {
            return None;
        }
        at += 1;
    }
}

/// Returns a field's text without quotes; escapes are not decoded.
pub fn text<'text>(object: &'text str, name: &str) -> Option<&'text str> {
    Some(field(object, name)?.trim_matches('"'))
}

fn skip_space(bytes: &[u8], mut at: usize) -> usize {
    while bytes.get(at).is_some_and(u8::is_ascii_whitespace) {
        at += 1;
    }
    at
}

/// Returns the end of the value that starts at `at`.
fn skip_value(bytes: &[u8], mut at: usize) -> usize {
    let mut depth = 0;
    while let Some(byte) = bytes.get(at) {
        match byte {
            b'"' => {
                at += 1;
                while bytes.get(at).is_some_and(|byte| *byte != b'"') {
                    at += if bytes[at] == b'\\' { 2 } else { 1 };
                }
                at += 1;
                if depth == 0 {
                    return at;
                }
                continue;
            }
            b'{' | b'[' => depth += 1,
            b'}' | b']' if depth == 0 => return at,
            b'}' | b']' => {
                depth -= 1;
                if depth == 0 {
                    return at + 1;
                }
            }
            b',' if depth == 0 => return at,
            byte if depth == 0 && byte.is_ascii_whitespace() => return at,
            _ => {}
        }
        at += 1;
    }
    at
}
