//! Reads settings from INI, and prints the commented defaults.

use std::collections::BTreeSet;
use std::fmt::Write;
use std::sync::Arc;

use ini::{Ini, ParseOption};

use crate::nearest_name::suggestion;
use crate::setting_table::{SettingField, SettingsTable};
use crate::{EntrySettings, RouterSettings, SettingError};

impl EntrySettings {
    /// Reads the settings of a daemon; `file` is the name that errors give.
    ///
    /// # Errors
    ///
    /// Every error of the file: syntax, unknown or doubled keys, bad values, missing required keys.
    pub fn parse(file: &str, text: &str) -> Result<Self, Vec<SettingError>> {
        SettingsReader::read(file, text).finish(true)
    }

    /// As [`EntrySettings::parse`], but no key is required.
    ///
    /// # Errors
    ///
    /// Every error of the file.
    pub fn parse_partial(file: &str, text: &str) -> Result<Self, Vec<SettingError>> {
        SettingsReader::read(file, text).finish(false)
    }

    /// Prints every setting with its meaning; the defaults stand as comments.
    pub fn default_text() -> String {
        default_text::<Self>()
    }
}

impl RouterSettings {
    /// Reads the settings of a router; `file` is the name that errors give.
    ///
    /// # Errors
    ///
    /// Every error of the file: syntax, unknown or doubled keys, bad values, missing required keys.
    pub fn parse(file: &str, text: &str) -> Result<Self, Vec<SettingError>> {
        SettingsReader::read(file, text).finish(true)
    }

    /// Prints every setting with its meaning; the defaults stand as comments.
    pub fn default_text() -> String {
        default_text::<Self>()
    }
}

fn default_text<Settings>() -> String
where
    Settings: SettingsTable,
{
    let settings = Settings::default();
    let mut output = String::new();
    let mut section = "";
    for field in Settings::FIELDS {
        if field.section != section {
            section = field.section;
            let _ = writeln!(output, "\n[{section}]");
        }
        let value = (field.print)(&settings);
        let required = if field.required { " Required." } else { "" };
        let _ = writeln!(output, "; {}{required}", field.help);
        let _ = writeln!(output, "; {} = {value}", field.key);
    }
    output.trim_start().to_owned()
}

struct SettingsReader<'file, Settings> {
    file: Arc<str>,
    text: &'file str,
    settings: Settings,
    seen: BTreeSet<(String, String)>,
    errors: Vec<SettingError>,
}

impl<'file, Settings> SettingsReader<'file, Settings>
where
    Settings: SettingsTable,
{
    fn read(file: &str, text: &'file str) -> Self {
        let mut reader = Self {
            file: file.into(),
            text: text.trim_start_matches('\u{feff}'),
            settings: Settings::default(),
            seen: BTreeSet::new(),
            errors: Vec::new(),
        };
        let option = ParseOption {
            enabled_quote: false,
            enabled_escape: false,
            ..ParseOption::default()
        };
        match Ini::load_from_str_opt(reader.text, option) {
            Ok(file) => reader.apply_file(&file),
            Err(error) => reader.report(
                error.line + 1,
                "file",
                &error.msg,
                "INI sections and `key = value` lines",
            ),
        }
        reader
    }

    fn apply_file(&mut self, file: &Ini) {
        for (section, lines) in file {
            for (key, value) in lines {
                self.apply_line(section.unwrap_or(""), key, value.trim());
            }
            self.check_section(section.unwrap_or(""));
        }
    }

    fn check_section(&mut self, section: &str) {
        let is_known = Settings::FIELDS
            .iter()
            .any(|field| field.section == section);
        if !is_known && !section.is_empty() && self.seen.iter().all(|(seen, _)| seen != section) {
            let known = suggestion(section, Settings::FIELDS.iter().map(|field| field.section));
            let line = self.line_of(section, None, 0);
            self.report(line, &format!("[{section}]"), "unknown section", &known);
        }
    }

    fn apply_line(&mut self, section: &str, key: &str, value: &str) {
        let place = format!("[{section}] {key}");
        let is_first = self.seen.insert((section.to_owned(), key.to_owned()));
        let line = self.line_of(section, Some(key), usize::from(!is_first));
        let Some(field) = field_named::<Settings>(section, key) else {
            let known = suggestion(key, keys_of::<Settings>(section));
            return self.report(line, &place, "unknown key", &known);
        };
        if !is_first {
            return self.report(line, &place, "doubled key", "each key once");
        }
        if let Err(expected) = (field.write)(&mut self.settings, value) {
            let shown = if section == "secrets" {
                "a bad secret"
            } else {
                value
            };
            self.report(line, &place, &format!("bad value `{shown}`"), &expected);
        }
    }

    fn finish(mut self, complete: bool) -> Result<Settings, Vec<SettingError>> {
        if complete && self.errors.is_empty() {
            self.check_required();
        }
        if self.errors.is_empty()
            && let Err([section, key, problem, expected]) = self.settings.check()
        {
            let line = self.line_of(section, Some(key), 0);
            self.report(line, &format!("[{section}] {key}"), problem, expected);
        }
        if self.errors.is_empty() {
            Ok(self.settings)
        } else {
            Err(self.errors)
        }
    }

    fn check_required(&mut self) {
        let last = self.text.lines().count().max(1);
        for field in Settings::FIELDS.iter().filter(|field| field.required) {
            let is_set = self
                .seen
                .contains(&(field.section.to_owned(), field.key.to_owned()));
            if !is_set || (field.print)(&self.settings).is_empty() && field.section == "instance" {
                let place = format!("[{}] {}", field.section, field.key);
                self.report(last, &place, "missing", field.help);
            }
        }
    }

    fn report(&mut self, line: usize, place: &str, problem: &str, expected: &str) {
        self.errors.push(SettingError {
            file: Arc::clone(&self.file),
            line,
            place: place.into(),
            problem: problem.into(),
            expected: expected.into(),
        });
    }

    /// The parser does not keep lines, so the line of a key is looked up in the text.
    fn line_of(&self, section: &str, key: Option<&str>, occurrence: usize) -> usize {
        let mut current = "";
        let mut found = Vec::new();
        for (index, line) in self.text.lines().enumerate() {
            let line = line.trim();
            if let Some(name) = line
                .strip_prefix('[')
                .and_then(|rest| rest.split(']').next())
            {
                current = name.trim();
                if key.is_none() && current == section {
                    return index + 1;
                }
            }
            let name = line.split(['=', ':']).next().unwrap_or("").trim();
            if current == section && key == Some(name) {
                found.push(index + 1);
            }
        }
        found.get(occurrence).or(found.last()).copied().unwrap_or(1)
    }
}

fn field_named<Settings>(section: &str, key: &str) -> Option<&'static SettingField<Settings>>
where
    Settings: SettingsTable,
{
    Settings::FIELDS
        .iter()
        .find(|field| field.section == section && field.key == key)
}

fn keys_of<Settings>(section: &str) -> impl Iterator<Item = &'static str>
where
    Settings: SettingsTable,
{
    Settings::FIELDS
        .iter()
        .filter(move |field| field.section == section)
        .map(|field| field.key)
}
