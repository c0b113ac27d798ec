//! Site description: engines, entries, kinds of programs and an optional burst.

use std::path::Path;

use errors::ResultCode;
use ini::{Ini, Properties};
use serde::{Deserialize, Serialize};

use crate::engine::EngineModel;

/// Microseconds per millisecond.
const US_PER_MS: f64 = 1_000.0;
/// Prefix of the sections that describe kinds of programs.
const KIND_SECTION: &str = "program ";

/// Fault of a site description.
#[derive(Debug, thiserror::Error)]
pub enum SiteError {
    /// The file cannot be read or is not in INI form.
    #[error("{} site description: {cause}", ResultCode::MalformedValue.number())]
    Unreadable {
        /// Message of the INI parser.
        cause: String,
    },
    /// A section or key is missing.
    #[error("{} site description: section [{section}] has no {key}", ResultCode::MalformedValue.number())]
    Missing {
        /// Name of the section.
        section: String,
        /// Missing key; `section` when the section itself is missing.
        key: String,
    },
    /// A value is not a finite positive number.
    #[error("{} site description: {key} = {value} in [{section}] is not a positive number", ResultCode::MalformedValue.number())]
    Malformed {
        /// Name of the section.
        section: String,
        /// Key of the value.
        key: String,
        /// Value as written in the file.
        value: String,
    },
    /// The file has no section that describes a kind of program.
    #[error("{} site description: no section [program NAME]", ResultCode::MalformedValue.number())]
    NoPrograms,
}

/// Period with a higher arrival rate of programs.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BurstModel {
    /// Start in microseconds.
    pub at_us: u64,
    /// Length in microseconds.
    pub length_us: u64,
    /// Factor by which the arrival rate of every kind is multiplied.
    pub factor: f64,
}

/// Parameters of one kind of program.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProgramKind {
    /// Name from the section header `[program NAME]`.
    pub name: String,
    /// Arrival rate in programs per second.
    pub per_second: f64,
    /// Number of turns of a program.
    pub turns: u32,
    /// Prompt tokens of a turn that are not in the cache of any engine.
    pub prompt_tokens: u32,
    /// Number of tokens that a turn generates.
    pub output_tokens: u32,
    /// Delay between turns in microseconds, in which the caller runs tools and processes the output.
    pub pause_us: u64,
    /// Aim (target duration) of a program as a multiple of its duration on idle engines.
    pub aim_factor: f64,
    /// Duration in microseconds that is added to the aim.
    pub aim_us: u64,
    /// Worth of a program that ends within its aim.
    pub worth: f64,
    /// Worth of a program that ends after its aim, but within twice the aim.
    pub late_worth: f64,
}

/// Parameters of a simulated site.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SiteModel {
    /// Length in microseconds of the period in which programs start.
    pub length_us: u64,
    /// Number of entries; each tracks the load of the engines separately.
    pub entries: usize,
    /// Number of engines.
    pub engines: usize,
    /// Parameters of each engine.
    pub engine: EngineModel,
    /// Burst; `None` without a section `[burst]`.
    pub burst: Option<BurstModel>,
    /// Kinds of programs.
    pub kinds: Vec<ProgramKind>,
}

impl SiteModel {
    /// Reads a site description from a file.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be read, a section or key is missing, or a value is not a finite positive
    /// number.
    pub fn from_file(path: &Path) -> Result<Self, SiteError> {
        Self::from_ini(&Ini::load_from_file(path).map_err(unreadable)?)
    }

    /// Parses a site description.
    ///
    /// # Errors
    ///
    /// Returns the same errors as [`Self::from_file`].
    pub fn from_text(text: &str) -> Result<Self, SiteError> {
        Self::from_ini(&Ini::load_from_str(text).map_err(unreadable)?)
    }

    fn from_ini(file: &Ini) -> Result<Self, SiteError> {
        let site = SectionReader::open(file, "site")?;
        let engines = SectionReader::open(file, "engines")?;
        let burst = match SectionReader::open(file, "burst") {
            Ok(burst) => Some(BurstModel {
                at_us: burst.parse_micros("at_ms")?,
                length_us: burst.parse_micros("length_ms")?,
                factor: burst.parse_number("factor")?,
            }),
            Err(_no_burst) => None,
        };
        let names = file.sections().flatten();
        let names = names.filter_map(|section| Some((section, section.strip_prefix(KIND_SECTION)?)));
        let kinds: Result<Vec<ProgramKind>, SiteError> = names
            .map(|(section, name)| parse_kind(&SectionReader::open(file, section)?, name))
            .collect();
        let kinds = kinds?;
        if kinds.is_empty() {
            return Err(SiteError::NoPrograms);
        }
        Ok(Self {
            length_us: site.parse_micros("length_ms")?,
            entries: site.parse_count("entries")? as usize,
            engines: engines.parse_count("count")? as usize,
            engine: EngineModel {
                slots: engines.parse_count("slots")? as usize,
                step_us: engines.parse_micros("step_ms")?,
                step_us_per_request: engines.parse_micros("step_ms_per_request")?,
                prefill_tokens_per_ms: engines.parse_number("prefill_tokens_per_ms")?,
                prefill_chunk: engines.parse_count("prefill_chunk")?,
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

fn parse_kind(section: &SectionReader<'_>, name: &str) -> Result<ProgramKind, SiteError> {
    Ok(ProgramKind {
        name: name.to_owned(),
        per_second: section.parse_number("per_second")?,
        turns: section.parse_count("turns")?,
        prompt_tokens: section.parse_count("prompt_tokens")?,
        output_tokens: section.parse_count("output_tokens")?,
        pause_us: section.parse_micros("pause_ms")?,
        aim_factor: section.parse_number("aim_factor")?,
        aim_us: section.parse_micros("aim_ms")?,
        worth: section.parse_number("worth")?,
        late_worth: section.parse_number("late_worth")?,
    })
}

/// A section together with its name, which errors report.
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

    fn parse_number(&self, key: &str) -> Result<f64, SiteError> {
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
    fn parse_count(&self, key: &str) -> Result<u32, SiteError> {
        Ok((self.parse_number(key)?.round() as u32).max(1))
    }

    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "positive by the check above, and saturating"
    )]
    fn parse_micros(&self, key: &str) -> Result<u64, SiteError> {
        Ok((self.parse_number(key)? * US_PER_MS).round() as u64)
    }
}
