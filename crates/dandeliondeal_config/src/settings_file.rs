//! Reads settings from INI files and prints the defaults as comments.

use std::collections::BTreeSet;
use std::fmt::Write;
use std::sync::Arc;

use ini::{Ini, ParseOption};

use crate::nearest_name::suggest_names;
use crate::setting_table::{SettingField, SettingsTable};
use crate::{EntrySettings, RouterSettings, SettingError};

impl EntrySettings {
    /// Parses the settings of an entry instance; `file` is the file name in errors.
    ///
    /// # Errors
    ///
    /// Returns all errors of the file: invalid syntax, unknown or duplicate keys, invalid values
    /// and missing required keys.
    pub fn parse(file: &str, text: &str) -> Result<Self, Vec<SettingError>> {
        SettingsReader::parse_file(file, text).finish(true)
    }

    /// Parses settings as [`EntrySettings::parse`] does, but without required keys.
    ///
    /// # Errors
    ///
    /// Returns all errors of the file.
    pub fn parse_partial(file: &str, text: &str) -> Result<Self, Vec<SettingError>> {
        SettingsReader::parse_file(file, text).finish(false)
    }

    /// Returns a settings file with the help text and default of each setting as comments.
    pub fn default_text() -> String {
        default_text::<Self>()
    }
}

impl RouterSettings {
    /// Parses the settings of a router; `file` is the file name in errors.
    ///
    /// # Errors
    ///
    /// Returns all errors of the file: invalid syntax, unknown or duplicate keys, invalid values
    /// and missing required keys.
    pub fn parse(file: &str, text: &str) -> Result<Self, Vec<SettingError>> {
        SettingsReader::parse_file(file, text).finish(true)
    }

    /// Returns a settings file with the help text and default of each setting as comments.
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
        let value = (field.format_value)(&settings);
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
    seen_keys: BTreeSet<(String, String)>,
    errors: Vec<SettingError>,
}

impl<'file, Settings> SettingsReader<'file, Settings>
where
    Settings: SettingsTable,
{
    fn parse_file(file: &str, text: &'file str) -> Self {
        let mut reader = Self {
            file: file.into(),
            text: text.trim_start_matches('\u{feff}'),
            settings: Settings::default(),
            seen_keys: BTreeSet::new(),
            errors: Vec::new(),
        };
        let option = ParseOption {
            enabled_quote: false,
            enabled_escape: false,
            ..ParseOption::default()
        };
        match Ini::load_from_str_opt(reader.text, option) {
            Ok(file) => reader.apply_file(&file),
            Err(error) => reader.push_error(
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
        if !is_known
            && !section.is_empty()
            && self.seen_keys.iter().all(|(seen, _)| seen != section)
        {
            let suggested_names =
                suggest_names(section, Settings::FIELDS.iter().map(|field| field.section));
            let line = self.line_of(section, None, 0);
            self.push_error(
                line,
                &format!("[{section}]"),
                "unknown section",
                &suggested_names,
            );
        }
    }

    fn apply_line(&mut self, section: &str, key: &str, value: &str) {
        let setting_name = format!("[{section}] {key}");
        let is_first = self.seen_keys.insert((section.to_owned(), key.to_owned()));
        let line = self.line_of(section, Some(key), usize::from(!is_first));
        let Some(field) = find_field::<Settings>(section, key) else {
            let suggested_names = suggest_names(key, section_keys::<Settings>(section));
            return self.push_error(line, &setting_name, "unknown key", &suggested_names);
        };
        if !is_first {
            return self.push_error(line, &setting_name, "duplicate key", "each key once");
        }
        if let Err(expected) = (field.parse_value)(&mut self.settings, value) {
            let shown_value = if section == "secrets" {
                "an invalid secret"
            } else {
                value
            };
            self.push_error(
                line,
                &setting_name,
                &format!("bad value `{shown_value}`"),
                &expected,
            );
        }
    }

    fn finish(mut self, require_all: bool) -> Result<Settings, Vec<SettingError>> {
        if require_all && self.errors.is_empty() {
            self.check_required();
        }
        if self.errors.is_empty()
            && let Err([section, key, problem, expected]) = self.settings.validate()
        {
            let line = self.line_of(section, Some(key), 0);
            self.push_error(line, &format!("[{section}] {key}"), problem, expected);
        }
        if self.errors.is_empty() {
            Ok(self.settings)
        } else {
            Err(self.errors)
        }
    }

    fn check_required(&mut self) {
        let last_line = self.text.lines().count().max(1);
        for field in Settings::FIELDS.iter().filter(|field| field.required) {
            let is_set = self
                .seen_keys
                .contains(&(field.section.to_owned(), field.key.to_owned()));
            if !is_set
                || (field.format_value)(&self.settings).is_empty() && field.section == "instance"
            {
                let setting_name = format!("[{}] {}", field.section, field.key);
                self.push_error(last_line, &setting_name, "missing", field.help);
            }
        }
    }

    fn push_error(&mut self, line: usize, setting_name: &str, problem: &str, expected: &str) {
        self.errors.push(SettingError {
            file: Arc::clone(&self.file),
            line,
            setting: setting_name.into(),
            problem: problem.into(),
            expected: expected.into(),
        });
    }

    /// Returns the line of a section or key, counted from 1.
    ///
    /// The INI parser does not report lines, so the text is searched.
    fn line_of(&self, section: &str, key: Option<&str>, occurrence: usize) -> usize {
        let mut current_section = "";
        let mut key_lines = Vec::new();
        for (index, line) in self.text.lines().enumerate() {
            let line = line.trim();
            if let Some(name) = line
                .strip_prefix('[')
                .and_then(|rest| rest.split(']').next())
            {
                current_section = name.trim();
                if key.is_none() && current_section == section {
                    return index + 1;
                }
            }
            let name = line.split(['=', ':']).next().unwrap_or("").trim();
            if current_section == section && key == Some(name) {
                key_lines.push(index + 1);
            }
        }
        key_lines
            .get(occurrence)
            .or(key_lines.last())
            .copied()
            .unwrap_or(1)
    }
}

fn find_field<Settings>(section: &str, key: &str) -> Option<&'static SettingField<Settings>>
where
    Settings: SettingsTable,
{
    Settings::FIELDS
        .iter()
        .find(|field| field.section == section && field.key == key)
}

fn section_keys<Settings>(section: &str) -> impl Iterator<Item = &'static str>
where
    Settings: SettingsTable,
{
    Settings::FIELDS
        .iter()
        .filter(move |field| field.section == section)
        .map(|field| field.key)
}
