//! Just enough JSON to take the fields of an object apart.

/// Returns the raw text of a field of the object `text`.
pub fn field<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    let bytes = text.as_bytes();
    let mut at = skip_space(bytes, 0);
    if bytes.get(at) != Some(&b'{') {
        return None;
    }
    at = skip_space(bytes, at + 1);
    while bytes.get(at) == Some(&b'"') {
        let key_end = skip_value(bytes, at)?;
        let key = &text[at + 1..key_end - 1];
        at = skip_space(bytes, key_end);
        if bytes.get(at) != Some(&b':') {
            return None;
        }
        at = skip_space(bytes, at + 1);
        let end = skip_value(bytes, at)?;
        if key == name {
            return Some(&text[at..end]);
        }
        at = skip_space(bytes, end);
        if bytes.get(at) == Some(&b',') {
            at = skip_space(bytes, at + 1);
        }
    }
    None
}

/// Returns a string field without its quotes.
pub fn text_field<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    field(text, name)?.strip_prefix('"')?.strip_suffix('"')
}

fn skip_space(bytes: &[u8], mut at: usize) -> usize {
    while bytes.get(at).is_some_and(u8::is_ascii_whitespace) {
        at += 1;
    }
    at
}

/// Returns the end of the value that begins at `at`.
fn skip_value(bytes: &[u8], mut at: usize) -> Option<usize> {
    match bytes.get(at)? {
        b'"' => {
            at += 1;
            while *bytes.get(at)? != b'"' {
                at += if bytes[at] == b'\\' { 2 } else { 1 };
            }
            Some(at + 1)
        }
        b'{' | b'[' => {
            let mut depth = 0;
            loop {
                match bytes.get(at)? {
                    b'"' => at = skip_value(bytes, at)? - 1,
                    b'{' | b'[' => depth += 1,
                    b'}' | b']' => depth -= 1,
                    _ => {}
                }
                at += 1;
                if depth == 0 {
                    return Some(at);
                }
            }
        }
        _ => {
            while bytes.get(at).is_some_and(|byte| !b",}] \n\r\t".contains(byte)) {
                at += 1;
            }
            Some(at)
        }
    }
}
