//! Parses literals: numbers, and escapes in strings and quoted names.

use crate::value::Value;

/// Factors that may follow a number, by their letter, as exponents of 2: `2K` is 2048.
const FACTORS: [(char, u32); 5] = [('b', 0), ('k', 10), ('m', 20), ('g', 30), ('t', 40)];

/// Parses an integer; `None` if it does not fit into 64 bits.
pub(super) fn integer(text: &str) -> Option<Value> {
    let lower = text.to_ascii_lowercase();
    if let Some(digits) = lower.strip_prefix("0x") {
        return i64::from_str_radix(digits, 16).ok().map(Value::Int);
    }
    let (digits, factor) = split_factor(&lower);
    let is_octal = digits.len() > 1 && digits.starts_with('0') && factor == 1;
    let radix = if is_octal { 8 } else { 10 };
    let number = i64::from_str_radix(digits, radix).ok()?;
    number.checked_mul(factor).map(Value::Int)
}

/// Parses a floating-point number.
pub(super) fn real(text: &str) -> Option<Value> {
    let lower = text.to_ascii_lowercase();
    let (digits, factor) = split_factor(&lower);
    let number: f64 = digits.parse().ok()?;
    Some(Value::Real(number * factor as f64))
}

fn split_factor(lower: &str) -> (&str, i64) {
    for (letter, bits) in FACTORS {
        if let Some(digits) = lower.strip_suffix(letter) {
            return (digits, 1 << bits);
        }
    }
    (lower, 1)
}

/// Replaces the escapes in a text; an octal escape is the number of a character.
pub(super) fn unescape(text: &str) -> String {
    let mut out = String::with_capacity(text.len());
    let mut chars = text.chars().peekable();
    while let Some(c) = chars.next() {
        if c != '\\' {
            out.push(c);
            continue;
        }
        match chars.next() {
            Some('n') => out.push('\n'),
            Some('t') => out.push('\t'),
            Some('r') => out.push('\r'),
            Some('b') => out.push('\u{8}'),
            Some('f') => out.push('\u{c}'),
            Some(first) if first.is_digit(8) => out.extend(octal(first, &mut chars)),
            Some(other) => out.push(other),
            None => {}
        }
    }
    out
}

/// Parses an octal escape into a character: up to three digits, or two if the first is 4 or
/// more, because the largest escape is `\377`.
fn octal(first: char, chars: &mut std::iter::Peekable<std::str::Chars<'_>>) -> Option<char> {
    let mut number = first.to_digit(8)?;
    let more_digits = if first <= '3' { 2 } else { 1 };
    for _ in 0..more_digits {
        let Some(digit) = chars.peek().and_then(|c| c.to_digit(8)) else {
            break;
        };
        number = number * 8 + digit;
        chars.next();
    }
    char::from_u32(number)
}
