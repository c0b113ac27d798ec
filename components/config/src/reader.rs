//! Typed access to the keys of one section.

use std::fmt::Display;
use std::str::FromStr;

use errors::ResultCode;

use crate::document::{IniDocument, IniEntry, IniSection};
use crate::fault::{FaultList, shorten};
use crate::rule::NumberRule;

/// Reads the keys of one section and reports their faults.
///
/// A method that returns `None` for a required key has reported why.
#[derive(Debug)]
pub(crate) struct SectionReader<'a> {
    line: u32,
    title: &'a str,
    entries: &'a [IniEntry],
    faults: &'a mut FaultList,
}

impl<'a> SectionReader<'a> {
    /// Creates a reader of a section whose title the text holds.
    pub(crate) fn new(section: &'a IniSection, faults: &'a mut FaultList) -> Self {
        Self {
            line: section.line,
            title: &section.title,
            entries: &section.entries,
            faults,
        }
    }

    /// Creates a reader of the section with the title; when there is none, its keys are missing at the end.
    pub(crate) fn find(document: &'a IniDocument, title: &'a str, faults: &'a mut FaultList) -> Self {
        let Some(section) = document.section(title) else {
            return Self {
                line: document.last_line,
                title,
                entries: &[],
                faults,
            };
        };
        Self::new(section, faults)
    }

    /// Reports the keys that are not among the known ones.
    pub(crate) fn check_keys(&mut self, known: &[&str]) {
        for entry in self.entries {
            if !known.contains(&entry.key.as_str()) {
                let message = format!("the section takes the keys {}", known.join(", "));
                self.fault(entry, ResultCode::UnknownKey, message);
            }
        }
    }

    /// Reports the key when it is present.
    pub(crate) fn refuse(&mut self, key: &str, reason: &str) {
        if let Some(entry) = self.entry(key) {
            self.fault(entry, ResultCode::UnknownKey, reason);
        }
    }

    /// Returns the first entry with the key.
    pub(crate) fn entry(&self, key: &str) -> Option<&'a IniEntry> {
        self.entries.iter().find(|entry| entry.key == key)
    }

    /// Returns the line of the key, or that of the section when the key is absent.
    pub(crate) fn line_of(&self, key: &str) -> u32 {
        self.entry(key).map_or(self.line, |entry| entry.line)
    }

    /// Returns the first entry with the key and reports a missing one.
    pub(crate) fn required(&mut self, key: &str) -> Option<&'a IniEntry> {
        let entry = self.entry(key);
        if entry.is_none() {
            self.fault_at(key, ResultCode::MissingKey, "the key is required");
        }
        entry
    }

    /// Returns the value of a required key.
    pub(crate) fn value<T: FromStr<Err: Display>>(&mut self, key: &str) -> Option<T> {
        let entry = self.required(key)?;
        self.convert(entry, &entry.value)
    }

    /// Returns the value of an optional key.
    pub(crate) fn optional<T: FromStr<Err: Display>>(&mut self, key: &str) -> Option<T> {
        let entry = self.entry(key)?;
        self.convert(entry, &entry.value)
    }

    /// Returns the name behind the kind of the section.
    pub(crate) fn name<T: FromStr<Err: Display>>(&mut self, name: &str) -> Option<T> {
        match name.parse() {
            Ok(name) => Some(name),
            Err(error) => {
                let message = format!("{:?}: {error}", shorten(name));
                self.faults
                    .push(self.line, self.title, "", ResultCode::MalformedValue, message);
                None
            }
        }
    }

    /// Returns a number within its range, or its default.
    pub(crate) fn number<T: TryFrom<u64>>(&mut self, rule: &NumberRule) -> Option<T> {
        let number = match (self.entry(rule.key), rule.default) {
            (None, Some(default)) => default,
            (None, None) => return self.required(rule.key).and(None),
            (Some(entry), _) => self.number_in_range(entry, rule)?,
        };
        T::try_from(number).ok()
    }

    /// Returns a yes or no, or the default.
    pub(crate) fn flag(&mut self, key: &str, default: bool) -> Option<bool> {
        let Some(entry) = self.entry(key) else {
            return Some(default);
        };
        match entry.value.as_str() {
            "yes" => Some(true),
            "no" => Some(false),
            other => self.malformed(entry, format!("{:?} is neither yes nor no", shorten(other))),
        }
    }

    /// Returns the sorted items of a comma-separated list; an absent key is an empty list.
    pub(crate) fn list<T: FromStr<Err: Display> + Ord>(&mut self, key: &str) -> Option<Vec<T>> {
        let Some(entry) = self.entry(key) else {
            return Some(Vec::new());
        };
        if entry.value.is_empty() {
            return Some(Vec::new());
        }
        let items = entry.value.split(',').map(str::trim);
        let items: Vec<Option<T>> = items.map(|item| self.convert(entry, item)).collect();
        let mut items: Vec<T> = items.into_iter().collect::<Option<_>>()?;
        items.sort();
        if items.windows(2).any(|pair| pair[0] == pair[1]) {
            return self.malformed(entry, "the list holds an item twice".to_owned());
        }
        Some(items)
    }

    /// Reports a fault of the key at its line, or at that of the section.
    pub(crate) fn fault_at(&mut self, key: &str, code: ResultCode, message: impl Into<String>) {
        self.faults
            .push(self.line_of(key), self.title, key, code, message);
    }

    /// Reports a malformed value of the entry and returns `None`.
    pub(crate) fn malformed<T>(&mut self, entry: &IniEntry, message: String) -> Option<T> {
        self.fault(entry, ResultCode::MalformedValue, message);
        None
    }

    fn convert<T: FromStr<Err: Display>>(&mut self, entry: &IniEntry, value: &str) -> Option<T> {
        match value.parse() {
            Ok(converted) => Some(converted),
            Err(error) => self.malformed(entry, format!("{:?}: {error}", shorten(value))),
        }
    }

    fn number_in_range(&mut self, entry: &IniEntry, rule: &NumberRule) -> Option<u64> {
        let digits = entry.value.as_str();
        if digits.is_empty() || !digits.bytes().all(|byte| byte.is_ascii_digit()) {
            return self.malformed(entry, format!("{:?} is not a whole number", shorten(digits)));
        }
        let number = digits
            .parse()
            .ok()
            .filter(|number| (rule.min..=rule.max).contains(number));
        if number.is_none() {
            let message = format!("the number lies outside {} to {}", rule.min, rule.max);
            self.fault(entry, ResultCode::ValueOutOfRange, message);
        }
        number
    }

    fn fault(&mut self, entry: &IniEntry, code: ResultCode, message: impl Into<String>) {
        self.faults
            .push(entry.line, self.title, &entry.key, code, message);
    }
}
