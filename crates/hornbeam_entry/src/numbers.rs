//! Numbers in header fields: digits, without sign, exponent or blanks inside.

/// Parses a whole number; one that does not fit becomes the largest.
pub(crate) fn whole(value: &[u8]) -> Option<u64> {
    let digits = value.trim_ascii();
    if digits.is_empty() || !digits.iter().all(u8::is_ascii_digit) {
        return None;
    }
    Some(std::str::from_utf8(digits).ok()?.parse().unwrap_or(u64::MAX))
}

/// Parses a number that may have decimals.
pub(crate) fn decimal(value: &[u8]) -> Option<f64> {
    let value = value.trim_ascii();
    let is_part = |b: &u8| b.is_ascii_digit() || *b == b'.';
    if !value.first()?.is_ascii_digit() || !value.iter().all(is_part) {
        return None;
    }
    let number: f64 = std::str::from_utf8(value).ok()?.parse().ok()?;
    number.is_finite().then_some(number)
}
