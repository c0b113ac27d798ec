//! The description of a site: engines, entries, kinds of programs and a burst.

use std::path::Path;

use errors::ResultCode;
use ini::{Ini, Properties};
use serde::{Deserialize, Serialize};

use crate::engine::EngineModel;

/// Microseconds of a millisecond.
const US_PER_MS: f64 = 1_000.0;
/// Prefix of the sections that describe kinds of programs.
const KIND_SECTION: &str = "program ";

/// A description that cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum SiteError {
    /// The file cannot be read.
    #[error("{} site description: {cause}", ResultCode::MalformedValue.number())]
    Unreadable {
        /// Why it cannot be read.
        cause: String,
    },
    /// A section or key is missing.
    #[error("{} site description: section [{section}] has no {key}", ResultCode::MalformedValue.number())]
    Missing {
        /// Section.
        section: String,
        /// Key.
        key: String,
    },
    /// A value is no number or out of range.
    #[error("{} site description: {key} = {value} in [{section}] is not a positive number", ResultCode::MalformedValue.number())]
    Malformed {
        /// Section.
        section: String,
        /// Key.
        key: String,
        /// Value.
        value: String,
    },
    /// No kind of program is described.
    #[error("{} site description: no section [program NAME]", ResultCode::MalformedValue.number())]
    NoPrograms,
}

/// A time in which more programs come.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BurstModel {
    /// Start in microseconds.
    pub at_us: u64,
    /// Length in microseconds.
    pub length_us: u64,
    /// Factor on every rate.
    pub factor: f64,
}

/// One kind of program.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProgramKind {
    /// Name.
    pub name: String,
    /// Programs that begin in a second.
    pub per_second: f64,
    /// Turns of a program.
    pub turns: u32,
    /// Prompt tokens of a turn that no engine holds yet.
    pub prompt_tokens: u32,
    /// Tokens that a turn generates.
    pub output_tokens: u32,
    /// Pause between turns in microseconds: tools and thought.
    pub pause_us: u64,
    /// The aim of a program as a multiple of its time on idle engines.
    pub aim_factor: f64,
    /// Time in microseconds that is added to the aim.
    pub aim_us: u64,
    /// Worth of a program that ends in its aim.
    pub worth: f64,
    /// Worth of a program that ends in twice its aim.
    pub late_worth: f64,
}

/// A site.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SiteModel {
    /// Time in microseconds in which programs begin.
    pub length_us: u64,
    /// Entries, each with its own view of the load.
    pub entries: usize,
    /// Number of engines.
    pub engines: usize,
    /// What each engine is like.
    pub engine: EngineModel,
    /// Burst, if there is one.
    pub burst: Option<BurstModel>,
    /// Kinds of programs.
    pub kinds: Vec<ProgramKind>,
}

impl SiteModel {
    /// Reads a description.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be read, lacks a key or has a value that is no positive number.
    pub fn from_file(path: &Path) -> Result<Self, SiteError> {
        Self::from_ini(&Ini::load_from_file(path).map_err(unreadable)?)
    }

    /// Reads a description from its text.
    ///
    /// # Errors
    ///
    /// Fails as [`Self::from_file`] does.
    pub fn from_text(text: &str) -> Result<Self, SiteError> {
        Self::from_ini(&Ini::load_from_str(text).map_err(unreadable)?)
    }

    fn from_ini(file: &Ini) -> Result<Self, SiteError> {
        let site = SectionReader::open(file, "site")?;
        let engines = SectionReader::open(file, "engines")?;
        let burst = match SectionReader::open(file, "burst") {
            Ok(burst) => Some(BurstModel {
                at_us: burst.micros("at_ms")?,
                length_us: burst.micros("length_ms")?,
                factor: burst.number("factor")?,
            }),
            Err(_no_burst) => None,
        };
        let names = file.sections().flatten();
        let names = names.filter_map(|section| Some((section, section.strip_prefix(KIND_SECTION)?)));
        let kinds: Result<Vec<ProgramKind>, SiteError> = names
            .map(|(section, name)| read_kind(&SectionReader::open(file, section)?, name))
            .collect();
        let kinds = kinds?;
        if kinds.is_empty() {
            return Err(SiteError::NoPrograms);
        }
        Ok(Self {
            length_us: site.micros("length_ms")?,
            entries: site.count("entries")? as usize,
            engines: engines.count("count")? as usize,
            engine: EngineModel {
                slots: engines.count("slots")? as usize,
                step_us: engines.micros("step_ms")?,
                step_us_per_request: engines.micros("step_ms_per_request")?,
                prefill_tokens_per_ms: engines.number("prefill_tokens_per_ms")?,
                prefill_chunk: engines.count("prefill_chunk")?,
            },
            burst,
            kinds,
        })
    }
}

fn unreadable(cause: impl std::fmt::Display) -> SiteError {
    SiteError::Unreadable {
        cause: cause.to_string(),
    }
}

fn read_kind(section: &SectionReader<'_>, name: &str) -> Result<ProgramKind, SiteError> {
    Ok(ProgramKind {
        name: name.to_owned(),
        per_second: section.number("per_second")?,
        turns: section.count("turns")?,
        prompt_tokens: section.count("prompt_tokens")?,
        output_tokens: section.count("output_tokens")?,
        pause_us: section.micros("pause_ms")?,
        aim_factor: section.number("aim_factor")?,
        aim_us: section.micros("aim_ms")?,
        worth: section.number("worth")?,
        late_worth: section.number("late_worth")?,
    })
}

/// A section with its name, for errors.
struct SectionReader<'a> {
    name: &'a str,
    properties: &'a Properties,
}

impl<'a> SectionReader<'a> {
    fn open(file: &'a Ini, name: &'a str) -> Result<Self, SiteError> {
        let properties = file.section(Some(name)).ok_or_else(|| SiteError::Missing {
            section: name.to_owned(),
            key: "section".to_owned(),
        })?;
        Ok(Self { name, properties })
    }

    fn number(&self, key: &str) -> Result<f64, SiteError> {
        let value = self.properties.get(key).ok_or_else(|| SiteError::Missing {
            section: self.name.to_owned(),
            key: key.to_owned(),
        })?;
        let number: Option<f64> = value.trim().parse().ok();
        number
            .filter(|number| number.is_finite() && *number > 0.0)
            .ok_or_else(|| SiteError::Malformed {
                section: self.name.to_owned(),
                key: key.to_owned(),
                value: value.to_owned(),
            })
    }

    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "positive by the check above, and saturating"
    )]
    fn count(&self, key: &str) -> Result<u32, SiteError> {
        Ok((self.number(key)?.round() as u32).max(1))
    }

    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "positive by the check above, and saturating"
    )]
    fn micros(&self, key: &str) -> Result<u64, SiteError> {
        Ok((self.number(key)? * US_PER_MS).round() as u64)
    }
}
