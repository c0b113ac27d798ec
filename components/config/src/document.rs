//! Sections and keys of an INI text with their lines.
//!
//! The library reports no lines of what it accepts and stops at the first fault, so it is handed one line at a
//! time: the count of lines stays here, the syntax of a line stays with the library.

use errors::ResultCode;
use ini::{Ini, ParseOption};

use crate::fault::FaultList;

const MAX_TEXT_BYTES: usize = 256 * 1024;
const BYTE_ORDER_MARK: char = '\u{feff}';

/// One key with its value.
#[derive(Debug)]
pub(crate) struct IniEntry {
    /// Line, from 1.
    pub(crate) line: u32,
    /// Key.
    pub(crate) key: String,
    /// Value without its comment.
    pub(crate) value: String,
}

/// One section.
#[derive(Debug)]
pub(crate) struct IniSection {
    /// Line of the header, from 1.
    pub(crate) line: u32,
    /// Header without its brackets; empty when the header is faulty.
    pub(crate) title: String,
    /// Keys in the order of the text.
    pub(crate) entries: Vec<IniEntry>,
}

/// A whole text.
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
    Entry { key: String, value: String },
}

impl IniDocument {
    /// Reads a text and reports its faults of syntax and its duplicates.
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
            document.read_line(line, content, faults);
        }
        document.report_duplicates(faults);
        Some(document)
    }

    /// Returns the first section with the title.
    pub(crate) fn section(&self, title: &str) -> Option<&IniSection> {
        self.sections.iter().find(|section| section.title == title)
    }

    fn read_line(&mut self, line: u32, content: &str, faults: &mut FaultList) {
        match parse_line(content) {
            Ok(IniLine::Blank) => {}
            Ok(IniLine::Header(title)) => self.open_section(line, title),
            Ok(IniLine::Entry { key, value }) => match self.sections.last_mut() {
                Some(section) => section.entries.push(IniEntry { line, key, value }),
                None => faults.push(
                    line,
                    "",
                    &key,
                    ResultCode::SyntaxFault,
                    "a key before the first section",
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
            entries: Vec::new(),
        });
    }

    fn report_duplicates(&self, faults: &mut FaultList) {
        let mut sections: Vec<&IniSection> = self.sections.iter().collect();
        sections.sort_by_key(|section| (&section.title, section.line));
        for pair in sections
            .windows(2)
            .filter(|pair| !pair[0].title.is_empty() && pair[0].title == pair[1].title)
        {
            let message = format!("the section stands already at line {}", pair[0].line);
            faults.push(
                pair[1].line,
                &pair[1].title,
                "",
                ResultCode::DuplicateSection,
                message,
            );
        }
        for section in &self.sections {
            let mut entries: Vec<&IniEntry> = section.entries.iter().collect();
            entries.sort_by_key(|entry| (&entry.key, entry.line));
            for pair in entries.windows(2).filter(|pair| pair[0].key == pair[1].key) {
                let message = format!("the key stands already at line {}", pair[0].line);
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
    // The library's message describes its own state, not the line.
    let ini = Ini::load_from_str_opt(content.trim(), options).map_err(|_library| EXPECTED)?;
    let mut items = Vec::new();
    for (title, properties) in &ini {
        items.extend(
            title.map(|title| IniLine::Header(title.split_whitespace().collect::<Vec<_>>().join(" "))),
        );
        items.extend(properties.iter().map(|(key, value)| IniLine::Entry {
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

/// The library strips a comment behind a value, but takes one in place of a value for the value.
fn strip_comment(value: &str) -> &str {
    if value.starts_with([';', '#']) { "" } else { value }
}
