//! Parsing of decimal numbers in response headers of endpoints.

/// Parses a number in decimal notation, without sign or exponent. Returns `None` if the text is malformed or the
/// number exceeds `max`.
pub(super) fn parse_decimal(text: &str, max: f64) -> Option<f64> {
    let is_plain = text
        .bytes()
        .all(|byte| byte.is_ascii_digit() || byte == b'.');
    let number = text.parse::<f64>().ok();
    number.filter(|number| is_plain && *number <= max)
}
