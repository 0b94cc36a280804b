//! JSON values. Numbers keep their text, so that a stored value is returned exactly as it was put.

use std::fmt::{self, Display, Formatter, Write as _};

/// A JSON value.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(String),
    Text(String),
    Array(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Self> {
        let mut parser = Parser {
            bytes: text.as_bytes(),
            at: 0,
        };
        let value = parser.value()?;
        parser.skip_space();
        (parser.at == parser.bytes.len()).then_some(value)
    }

    pub fn text(value: impl Into<String>) -> Self {
        Self::Text(value.into())
    }

    pub fn number(value: impl Display) -> Self {
        Self::Number(value.to_string())
    }

    pub fn object<const N: usize>(fields: [(&str, Json); N]) -> Self {
        let fields = fields.into_iter();
        Self::Object(fields.map(|(name, value)| (name.into(), value)).collect())
    }

    /// Returns the field of an object; null if there is none.
    pub fn get(&self, name: &str) -> &Json {
        if let Self::Object(fields) = self
            && let Some((_, value)) = fields.iter().find(|field| field.0 == name)
        {
            return value;
        }
        &Json::Null
    }

    pub fn set(&mut self, name: &str, value: Json) {
        if let Self::Object(fields) = self {
            fields.retain(|field| field.0 != name);
            fields.push((name.into(), value));
        }
    }

    pub fn as_str(&self) -> &str {
        match self {
            Self::Text(text) => text,
            _ => "",
        }
    }

    pub fn as_f64(&self) -> f64 {
        match self {
            Self::Number(text) => text.parse().unwrap_or(0.0),
            _ => 0.0,
        }
    }

    pub fn as_u64(&self) -> u64 {
        match self {
            Self::Number(text) => text.parse().unwrap_or(0),
            _ => 0,
        }
    }

    pub fn as_bool(&self) -> bool {
        *self == Self::Bool(true)
    }

    pub fn items(&self) -> &[Json] {
        match self {
            Self::Array(items) => items,
            _ => &[],
        }
    }
}

impl Display for Json {
    fn fmt(&self, out: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Null => out.write_str("null"),
            Self::Bool(value) => write!(out, "{value}"),
            Self::Number(text) => out.write_str(text),
            Self::Text(text) => write_text(out, text),
            Self::Array(items) => {
                out.write_char('[')?;
                for (i, item) in items.iter().enumerate() {
                    if i > 0 {
                        out.write_char(',')?;
                    }
                    write!(out, "{item}")?;
                }
                out.write_char(']')
            }
            Self::Object(fields) => {
                out.write_char('{')?;
                for (i, (name, value)) in fields.iter().enumerate() {
                    if i > 0 {
                        out.write_char(',')?;
                    }
                    write_text(out, name)?;
                    write!(out, ":{value}")?;
                }
                out.write_char('}')
            }
        }
    }
}

fn write_text(out: &mut Formatter<'_>, text: &str) -> fmt::Result {
    out.write_char('"')?;
    for c in text.chars() {
        match c {
            '"' => out.write_str("\\\"")?,
            '\\' => out.write_str("\\\\")?,
            c if (c as u32) < 0x20 => write!(out, "\\u{:04x}", c as u32)?,
            c => out.write_char(c)?,
        }
    }
    out.write_char('"')
}

struct Parser<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn skip_space(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn take(&mut self, byte: u8) -> bool {
        self.skip_space();
        let is_next = self.bytes.get(self.at) == Some(&byte);
        self.at += usize::from(is_next);
        is_next
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        let is_next = self.bytes[self.at..].starts_with(word.as_bytes());
        self.at += word.len();
        is_next.then_some(value)
    }

    fn value(&mut self) -> Option<Json> {
        self.skip_space();
        match *self.bytes.get(self.at)? {
            b'n' => self.word("null", Json::Null),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'"' => self.string().map(Json::Text),
            b'[' => {
                self.at += 1;
                let mut items = Vec::new();
                if self.take(b']') {
                    return Some(Json::Array(items));
                }
                loop {
                    items.push(self.value()?);
                    if self.take(b']') {
                        return Some(Json::Array(items));
                    }
                    if !self.take(b',') {
                        return None;
                    }
                }
            }
            b'{' => {
                self.at += 1;
                let mut fields = Vec::new();
                if self.take(b'}') {
                    return Some(Json::Object(fields));
                }
                loop {
                    self.skip_space();
                    let name = self.string()?;
                    if !self.take(b':') {
                        return None;
                    }
                    fields.push((name, self.value()?));
                    if self.take(b'}') {
                        return Some(Json::Object(fields));
                    }
                    if !self.take(b',') {
                        return None;
                    }
                }
            }
            _ => {
                let start = self.at;
                while self
                    .bytes
                    .get(self.at)
                    .is_some_and(|b| b"+-.eE0123456789".contains(b))
                {
                    self.at += 1;
                }
                let text = std::str::from_utf8(&self.bytes[start..self.at]).ok()?;
                text.parse::<f64>().ok()?;
                Some(Json::Number(text.into()))
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        if !self.take(b'"') {
            return None;
        }
        let mut out: Vec<u8> = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(out).ok(),
                b'\\' => {
                    let escaped = *self.bytes.get(self.at)?;
                    self.at += 1;
                    match escaped {
                        b'n' => out.push(b'\n'),
                        b't' => out.push(b'\t'),
                        b'r' => out.push(b'\r'),
                        b'b' => out.push(8),
                        b'f' => out.push(12),
                        b'u' => {
                            let digits = self.bytes.get(self.at..self.at + 4)?;
                            self.at += 4;
                            let code = u32::from_str_radix(std::str::from_utf8(digits).ok()?, 16);
                            let c = char::from_u32(code.ok()?).unwrap_or('\u{fffd}');
                            out.extend(c.to_string().as_bytes());
                        }
                        other => out.push(other),
                    }
                }
                other => out.push(other),
            }
        }
    }
}
