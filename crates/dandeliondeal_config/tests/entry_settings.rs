//! Tests of reading process settings from INI files.

use std::time::Duration;

use dandeliondeal_config::{EntrySettings, SettingError};

/// Settings file with all required keys.
const VALID: &str = "[instance]\nid = entry-1\nfailure_domain = didube\nregion = tbilisi\n\
    [platform]\naddress = 127.0.0.1:8090\n\
    [secrets]\npeer = 0123456789abcdef\noperator = fedcba9876543210\n";

fn errors_of(text: &str) -> Vec<SettingError> {
    EntrySettings::parse("entry.ini", text).unwrap_err()
}

#[test]
fn valid_file() {
    let text = format!("{VALID}[requests]\ndeadline = 90 s\n");
    let settings = EntrySettings::parse("entry.ini", &text).unwrap();
    assert_eq!(&*settings.instance.id, "entry-1");
    assert_eq!(settings.requests.deadline, Duration::from_secs(90));
    assert!(!format!("{settings:?}").contains("0123456789abcdef"));
}

#[test]
fn default_text() {
    let text = EntrySettings::default_text();
    let settings = EntrySettings::parse_partial("default", &text).unwrap();
    assert_eq!(settings, EntrySettings::default());
    let uncommented: String = text
        .lines()
        .filter(|line| line.starts_with('[') || line.contains(" = ") && !line.ends_with("= "))
        .map(|line| line.trim_start_matches("; "))
        .collect::<Vec<_>>()
        .join("\n");
    let settings = EntrySettings::parse_partial("default", &uncommented).unwrap();
    assert_eq!(settings, EntrySettings::default());
}

#[test]
fn unknown_key() {
    let errors = errors_of(&format!(
        "{VALID}[limits]\nbody_byte = 2048\n[limit]\nx = 1\n"
    ));
    assert_eq!(
        errors[0].to_string(),
        "entry.ini:11: [limits] body_byte: unknown key; expected `body_bytes`"
    );
    assert_eq!(errors[1].line, 13);
}

#[test]
fn invalid_values() {
    let errors = errors_of(&format!(
        "{VALID}[limits]\nheader_time = 5\nbody_bytes = 1.5\nconnections = 0\nheader_time = 1 s\n"
    ));
    let lines: Vec<usize> = errors.iter().map(|error| error.line).collect();
    assert_eq!(lines, [11, 12, 13, 14]);
    assert!(errors[2].expected.contains("from 1 to 100000"));
}

#[test]
fn missing_key() {
    let errors = errors_of(&VALID.replace("region = tbilisi\n", ""));
    assert_eq!(&*errors[0].setting, "[instance] region");
}

#[test]
fn hidden_secret() {
    let errors = errors_of(&VALID.replace("0123456789abcdef", "short"));
    assert!(!errors[0].to_string().contains("short"));
}
