//! Typed access to the properties of one section.

use std::fmt::Display;
use std::str::FromStr;

use errors::ResultCode;

use crate::document::{IniDocument, IniProperty, IniSection};
use crate::fault::{FaultList, shorten};
use crate::rule::NumberRule;

/// Converts the properties of one section to typed values and reports their faults.
///
/// When a method returns `None` for a required key, it has reported a fault.
#[derive(Debug)]
pub(crate) struct SectionReader<'a> {
    line: u32,
    title: &'a str,
    properties: &'a [IniProperty],
    faults: &'a mut FaultList,
}

impl<'a> SectionReader<'a> {
    /// Creates a reader of a section of the text.
    pub(crate) fn new(section: &'a IniSection, faults: &'a mut FaultList) -> Self {
        Self {
            line: section.line,
            title: &section.title,
            properties: &section.properties,
            faults,
        }
    }

    /// Creates a reader of the first section with the title.
    ///
    /// When there is none, its required keys are reported as missing at the last line of the text.
    pub(crate) fn find(document: &'a IniDocument, title: &'a str, faults: &'a mut FaultList) -> Self {
        let Some(section) = document.section(title) else {
            return Self {
                line: document.last_line,
                title,
                properties: &[],
                faults,
            };
        };
        Self::new(section, faults)
    }

    /// Reports the keys that are not among the known keys.
    pub(crate) fn check_keys(&mut self, known: &[&str]) {
        for property in self.properties {
            if !known.contains(&property.key.as_str()) {
                let message = format!("unknown key, expected one of {}", known.join(", "));
                self.report(property, ResultCode::UnknownKey, message);
            }
        }
    }

    /// Reports the key as unknown when the section has it.
    pub(crate) fn reject_key(&mut self, key: &str, reason: &str) {
        if let Some(property) = self.property(key) {
            self.report(property, ResultCode::UnknownKey, reason);
        }
    }

    /// Returns the first property with the key.
    pub(crate) fn property(&self, key: &str) -> Option<&'a IniProperty> {
        self.properties.iter().find(|property| property.key == key)
    }

    /// Returns the line of the key, or the line of the section header when the key is absent.
    pub(crate) fn line_of(&self, key: &str) -> u32 {
        self.property(key).map_or(self.line, |property| property.line)
    }

    /// Returns the first property with the key, or reports that the key is missing.
    pub(crate) fn required(&mut self, key: &str) -> Option<&'a IniProperty> {
        let property = self.property(key);
        if property.is_none() {
            self.report_at(key, ResultCode::MissingKey, "the key is required");
        }
        property
    }

    /// Returns the value of a required key.
    pub(crate) fn value<T: FromStr<Err: Display>>(&mut self, key: &str) -> Option<T> {
        let property = self.required(key)?;
        self.convert(property, &property.value)
    }

    /// Returns the value of an optional key.
    pub(crate) fn optional<T: FromStr<Err: Display>>(&mut self, key: &str) -> Option<T> {
        let property = self.property(key)?;
        self.convert(property, &property.value)
    }

    /// Parses the name in the title of the section.
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

    /// Returns the number of the rule's key, checked against its range; the default when the key is absent.
    pub(crate) fn number<T: TryFrom<u64>>(&mut self, rule: &NumberRule) -> Option<T> {
        let number = match (self.property(rule.key), rule.default) {
            (None, Some(default)) => default,
            (None, None) => return self.required(rule.key).and(None),
            (Some(property), _) => self.number_in_range(property, rule)?,
        };
        T::try_from(number).ok()
    }

    /// Returns whether the value is `yes`, or the default when the key is absent.
    pub(crate) fn flag(&mut self, key: &str, default: bool) -> Option<bool> {
        let Some(property) = self.property(key) else {
            return Some(default);
        };
        match property.value.as_str() {
            "yes" => Some(true),
            "no" => Some(false),
            other => self.report_malformed(
                property,
                format!("expected yes or no, found {:?}", shorten(other)),
            ),
        }
    }

    /// Returns the sorted items of a comma-separated list, which is empty when the key is absent.
    pub(crate) fn list<T: FromStr<Err: Display> + Ord>(&mut self, key: &str) -> Option<Vec<T>> {
        let Some(property) = self.property(key) else {
            return Some(Vec::new());
        };
        if property.value.is_empty() {
            return Some(Vec::new());
        }
        let items = property.value.split(',').map(str::trim);
        let items: Vec<Option<T>> = items.map(|item| self.convert(property, item)).collect();
        let mut items: Vec<T> = items.into_iter().collect::<Option<_>>()?;
        items.sort();
        if items.windows(2).any(|pair| pair[0] == pair[1]) {
            return self.report_malformed(property, "the list contains an item more than once".to_owned());
        }
        Some(items)
    }

    /// Reports a fault of the key at its line, or at the line of the section header when the key is absent.
    pub(crate) fn report_at(&mut self, key: &str, code: ResultCode, message: impl Into<String>) {
        self.faults
            .push(self.line_of(key), self.title, key, code, message);
    }

    /// Reports a malformed value of the property and returns `None`.
    pub(crate) fn report_malformed<T>(&mut self, property: &IniProperty, message: String) -> Option<T> {
        self.report(property, ResultCode::MalformedValue, message);
        None
    }

    fn convert<T: FromStr<Err: Display>>(&mut self, property: &IniProperty, value: &str) -> Option<T> {
        match value.parse() {
            Ok(converted) => Some(converted),
            Err(error) => self.report_malformed(property, format!("{:?}: {error}", shorten(value))),
        }
    }

    fn number_in_range(&mut self, property: &IniProperty, rule: &NumberRule) -> Option<u64> {
        let digits = property.value.as_str();
        if digits.is_empty() || !digits.bytes().all(|byte| byte.is_ascii_digit()) {
            return self.report_malformed(
                property,
                format!("expected a number of decimal digits, found {:?}", shorten(digits)),
            );
        }
        let number = digits
            .parse()
            .ok()
            .filter(|number| (rule.min..=rule.max).contains(number));
        if number.is_none() {
            let message = format!("expected a number from {} to {}", rule.min, rule.max);
            self.report(property, ResultCode::ValueOutOfRange, message);
        }
        number
    }

    fn report(&mut self, property: &IniProperty, code: ResultCode, message: impl Into<String>) {
        self.faults
            .push(property.line, self.title, &property.key, code, message);
    }
}
