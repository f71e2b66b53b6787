//! Parsing and formatting of the values of settings.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::{GradingMode, SecretText};

/// Type of the value of a setting.
pub(crate) trait SettingValue: Clone + PartialEq {
    /// Description of a valid value, for error messages.
    const EXPECTED: &'static str;

    /// Parses a value; returns `None` if the text is not a valid value of this type.
    fn parse_setting(text: &str) -> Option<Self>;

    /// Formats the value as it is written in a settings file.
    fn format_setting(&self) -> String;
}

impl SettingValue for u64 {
    const EXPECTED: &'static str = "a whole number without sign or separators";

    fn parse_setting(text: &str) -> Option<Self> {
        let is_all_digits = text.bytes().all(|byte| byte.is_ascii_digit());
        is_all_digits.then(|| text.parse().ok()).flatten()
    }

    fn format_setting(&self) -> String {
        self.to_string()
    }
}

impl SettingValue for f64 {
    const EXPECTED: &'static str = "a number such as 0.2";

    fn parse_setting(text: &str) -> Option<Self> {
        text.parse().ok().filter(|number: &Self| number.is_finite())
    }

    fn format_setting(&self) -> String {
        self.to_string()
    }
}

impl SettingValue for bool {
    const EXPECTED: &'static str = "true or false";

    fn parse_setting(text: &str) -> Option<Self> {
        text.parse().ok()
    }

    fn format_setting(&self) -> String {
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

    fn format_setting(&self) -> String {
        self.to_string()
    }
}

impl SettingValue for GradingMode {
    const EXPECTED: &'static str = "auto, on or off";

    fn parse_setting(text: &str) -> Option<Self> {
        match text {
            "auto" => Some(Self::Auto),
            "on" => Some(Self::On),
            "off" => Some(Self::Off),
            _ => None,
        }
    }

    fn format_setting(&self) -> String {
        match self {
            Self::Auto => "auto",
            Self::On => "on",
            Self::Off => "off",
        }
        .to_owned()
    }
}

impl SettingValue for SecretText {
    const EXPECTED: &'static str = "printable text without spaces, 16 to 256 bytes long";

    fn parse_setting(text: &str) -> Option<Self> {
        let is_valid_length = (16..=256).contains(&text.len());
        let is_printable = text.bytes().all(|byte| byte.is_ascii_graphic());
        (is_valid_length && is_printable).then(|| Self::new(text))
    }

    fn format_setting(&self) -> String {
        String::new()
    }
}

impl SettingValue for SocketAddr {
    const EXPECTED: &'static str = "an IP address and port such as 127.0.0.1:8080";

    fn parse_setting(text: &str) -> Option<Self> {
        text.parse().ok()
    }

    fn format_setting(&self) -> String {
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

    fn format_setting(&self) -> String {
        let addresses: Vec<String> = self.iter().map(ToString::to_string).collect();
        addresses.join(" ")
    }
}

/// Units of time with their length in milliseconds, the longest first.
const TIME_UNITS: [(&str, u64); 4] = [("h", 3_600_000), ("min", 60_000), ("s", 1_000), ("ms", 1)];

impl SettingValue for Duration {
    const EXPECTED: &'static str = "a time with a unit (ms, s, min or h) such as `250 ms`";

    fn parse_setting(text: &str) -> Option<Self> {
        let unit_start =
            text.find(|character: char| !character.is_ascii_digit() && character != '.')?;
        let (amount, unit) = text.split_at(unit_start);
        let (_, unit_milliseconds) = TIME_UNITS.iter().find(|(name, _)| *name == unit.trim())?;
        if amount.contains('.') {
            let seconds = f64::parse_setting(amount)? * (*unit_milliseconds as f64) / 1e3;
            return Self::try_from_secs_f64(seconds).ok();
        }
        let amount = u64::parse_setting(amount)?;
        amount
            .checked_mul(*unit_milliseconds)
            .map(Self::from_millis)
    }

    fn format_setting(&self) -> String {
        let milliseconds = u64::try_from(self.as_millis()).unwrap_or(u64::MAX);
        TIME_UNITS
            .iter()
            .find(|(_, unit_milliseconds)| {
                milliseconds >= *unit_milliseconds
                    && milliseconds.is_multiple_of(*unit_milliseconds)
            })
            .map_or_else(
                || format!("{milliseconds} ms"),
                |(name, unit_milliseconds)| format!("{} {name}", milliseconds / unit_milliseconds),
            )
    }
}
