//! How the value of a setting is read and printed.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::SecretText;

/// A type that a setting may have.
pub(crate) trait SettingValue: Clone + PartialEq {
    /// What a reader is told to write.
    const EXPECTED: &'static str;

    /// Reads the value; `None` if the text is not of this type.
    fn parse_setting(text: &str) -> Option<Self>;

    /// Prints the value as it is written in a file.
    fn print_setting(&self) -> String;
}

impl SettingValue for u64 {
    const EXPECTED: &'static str = "a whole number without sign or separators";

    fn parse_setting(text: &str) -> Option<Self> {
        let is_plain = text.bytes().all(|byte| byte.is_ascii_digit());
        is_plain.then(|| text.parse().ok()).flatten()
    }

    fn print_setting(&self) -> String {
        self.to_string()
    }
}

impl SettingValue for f64 {
    const EXPECTED: &'static str = "a number such as 0.2";

    fn parse_setting(text: &str) -> Option<Self> {
        text.parse().ok().filter(|number: &Self| number.is_finite())
    }

    fn print_setting(&self) -> String {
        self.to_string()
    }
}

impl SettingValue for bool {
    const EXPECTED: &'static str = "true or false";

    fn parse_setting(text: &str) -> Option<Self> {
        text.parse().ok()
    }

    fn print_setting(&self) -> String {
        self.to_string()
    }
}

impl SettingValue for Arc<str> {
    const EXPECTED: &'static str = "a name of letters, digits, `-`, `_` and `.`";

    fn parse_setting(text: &str) -> Option<Self> {
        let is_name = text
            .bytes()
            .all(|byte| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte));
        is_name.then(|| text.into())
    }

    fn print_setting(&self) -> String {
        self.to_string()
    }
}

impl SettingValue for SecretText {
    const EXPECTED: &'static str = "printable text without spaces, 16 to 256 bytes long";

    fn parse_setting(text: &str) -> Option<Self> {
        let is_long = (16..=256).contains(&text.len());
        let is_printable = text.bytes().all(|byte| byte.is_ascii_graphic());
        (is_long && is_printable).then(|| Self::new(text))
    }

    fn print_setting(&self) -> String {
        String::new()
    }
}

impl SettingValue for SocketAddr {
    const EXPECTED: &'static str = "an IP address and port such as 127.0.0.1:8080";

    fn parse_setting(text: &str) -> Option<Self> {
        text.parse().ok()
    }

    fn print_setting(&self) -> String {
        self.to_string()
    }
}

impl SettingValue for Vec<SocketAddr> {
    const EXPECTED: &'static str = "IP addresses and ports separated by spaces, or nothing";

    fn parse_setting(text: &str) -> Option<Self> {
        text.split_whitespace()
            .map(|address| address.parse().ok())
            .collect()
    }

    fn print_setting(&self) -> String {
        let addresses: Vec<String> = self.iter().map(ToString::to_string).collect();
        addresses.join(" ")
    }
}

/// Units of time, the longest first, in milliseconds.
const TIME_UNITS: [(&str, u64); 4] = [("h", 3_600_000), ("min", 60_000), ("s", 1_000), ("ms", 1)];

impl SettingValue for Duration {
    const EXPECTED: &'static str = "a time with a unit (ms, s, min or h) such as `250 ms`";

    fn parse_setting(text: &str) -> Option<Self> {
        let split = text.find(|letter: char| !letter.is_ascii_digit() && letter != '.')?;
        let (amount, unit) = text.split_at(split);
        let (_, size) = TIME_UNITS.iter().find(|(name, _)| *name == unit.trim())?;
        if amount.contains('.') {
            let seconds = f64::parse_setting(amount)? * (*size as f64) / 1e3;
            return Self::try_from_secs_f64(seconds).ok();
        }
        let amount = u64::parse_setting(amount)?;
        amount.checked_mul(*size).map(Self::from_millis)
    }

    fn print_setting(&self) -> String {
        let milliseconds = u64::try_from(self.as_millis()).unwrap_or(u64::MAX);
        TIME_UNITS
            .iter()
            .find(|(_, size)| milliseconds >= *size && milliseconds.is_multiple_of(*size))
            .map_or_else(
                || format!("{milliseconds} ms"),
                |(name, size)| format!("{} {name}", milliseconds / size),
            )
    }
}
