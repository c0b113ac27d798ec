//! Sections and keys of an INI text with their line numbers.
//!
//! The INI library returns no line numbers and stops at the first fault. Therefore this module counts the
//! lines of the text and has the library parse one line at a time.

use errors::ResultCode;
use ini::{Ini, ParseOption};

use crate::fault::FaultList;

const MAX_TEXT_BYTES: usize = 256 * 1024;
const BYTE_ORDER_MARK: char = '\u{feff}';

/// One key with its value, written `KEY = VALUE`.
#[derive(Debug)]
pub(crate) struct IniProperty {
    /// Line number, from 1.
    pub(crate) line: u32,
    /// Key without surrounding blanks.
    pub(crate) key: String,
    /// Value without the comment that may follow it.
    pub(crate) value: String,
}

/// One section with its properties.
#[derive(Debug)]
pub(crate) struct IniSection {
    /// Line number of the header, from 1.
    pub(crate) line: u32,
    /// Header without its brackets, with single blanks between words; empty when the header is malformed.
    pub(crate) title: String,
    /// Properties in the order of the text.
    pub(crate) properties: Vec<IniProperty>,
}

/// Sections of a parsed text.
#[derive(Debug, Default)]
pub(crate) struct IniDocument {
    /// Sections in the order of the text.
    pub(crate) sections: Vec<IniSection>,
    /// Number of the last line, at least 1.
    pub(crate) last_line: u32,
}

enum IniLine {
    Blank,
    Header(String),
    Property { key: String, value: String },
}

impl IniDocument {
    /// Parses a text and reports syntax faults, duplicate sections and duplicate keys.
    ///
    /// Returns `None` when the text exceeds the size limit.
    pub(crate) fn parse(text: &str, faults: &mut FaultList) -> Option<Self> {
        if text.len() > MAX_TEXT_BYTES {
            let message = format!("the text has {} bytes; the limit is {MAX_TEXT_BYTES}", text.len());
            faults.push(1, "", "", ResultCode::ValueOutOfRange, message);
            return None;
        }
        let mut document = Self {
            sections: Vec::new(),
            last_line: 1,
        };
        let text = text.strip_prefix(BYTE_ORDER_MARK).unwrap_or(text);
        for (line, content) in (1..).zip(text.lines()) {
            document.last_line = line;
            document.add_line(line, content, faults);
        }
        document.report_duplicates(faults);
        Some(document)
    }

    /// Returns the first section with the title.
    pub(crate) fn section(&self, title: &str) -> Option<&IniSection> {
        self.sections.iter().find(|section| section.title == title)
    }

    fn add_line(&mut self, line: u32, content: &str, faults: &mut FaultList) {
        match parse_line(content) {
            Ok(IniLine::Blank) => {}
            Ok(IniLine::Header(title)) => self.open_section(line, title),
            Ok(IniLine::Property { key, value }) => match self.sections.last_mut() {
                Some(section) => section.properties.push(IniProperty { line, key, value }),
                None => faults.push(
                    line,
                    "",
                    &key,
                    ResultCode::SyntaxFault,
                    "the key comes before the first section header",
                ),
            },
            Err(message) => {
                let section = self.sections.last().map_or("", |section| section.title.as_str());
                faults.push(line, section, "", ResultCode::SyntaxFault, message);
                if content.trim_start().starts_with('[') {
                    self.open_section(line, String::new());
                }
            }
        }
    }

    fn open_section(&mut self, line: u32, title: String) {
        self.sections.push(IniSection {
            line,
            title,
            properties: Vec::new(),
        });
    }

    fn report_duplicates(&self, faults: &mut FaultList) {
        let mut sections: Vec<&IniSection> = self.sections.iter().collect();
        sections.sort_by_key(|section| (&section.title, section.line));
        for pair in sections
            .windows(2)
            .filter(|pair| !pair[0].title.is_empty() && pair[0].title == pair[1].title)
        {
            let message = format!("the section is already declared at line {}", pair[0].line);
            faults.push(
                pair[1].line,
                &pair[1].title,
                "",
                ResultCode::DuplicateSection,
                message,
            );
        }
        for section in &self.sections {
            let mut properties: Vec<&IniProperty> = section.properties.iter().collect();
            properties.sort_by_key(|property| (&property.key, property.line));
            for pair in properties.windows(2).filter(|pair| pair[0].key == pair[1].key) {
                let message = format!("the key is already set at line {}", pair[0].line);
                faults.push(
                    pair[1].line,
                    &section.title,
                    &pair[1].key,
                    ResultCode::DuplicateKey,
                    message,
                );
            }
        }
    }
}

fn parse_line(content: &str) -> Result<IniLine, &'static str> {
    const EXPECTED: &str = "a line is [SECTION], KEY = VALUE or a comment behind ; or #";
    let options = ParseOption {
        enabled_quote: false,
        enabled_escape: false,
        enabled_indented_mutiline_value: false,
        enabled_preserve_key_leading_whitespace: false,
    };
    // The message of the library describes the state of its parser, not the line.
    let ini = Ini::load_from_str_opt(content.trim(), options).map_err(|_library| EXPECTED)?;
    let mut items = Vec::new();
    for (title, properties) in &ini {
        items.extend(
            title.map(|title| IniLine::Header(title.split_whitespace().collect::<Vec<_>>().join(" "))),
        );
        items.extend(properties.iter().map(|(key, value)| IniLine::Property {
            key: key.to_owned(),
            value: strip_comment(value).to_owned(),
        }));
    }
    match items.pop() {
        None => Ok(IniLine::Blank),
        Some(IniLine::Header(title)) if title.is_empty() => Err(EXPECTED),
        Some(item) if items.is_empty() => Ok(item),
        Some(_) => Err(EXPECTED),
    }
}

/// Returns an empty value when the text is a comment.
///
/// The library strips a comment after a value, but returns a comment in place of a value as the value.
fn strip_comment(value: &str) -> &str {
    if value.starts_with([';', '#']) { "" } else { value }
}
