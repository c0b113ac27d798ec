//! `azuretide check`: checks a configuration text.

use std::fs;
use std::path::Path;

use config::parse_configuration;
use serde_json::json;

use crate::error::ToolError;

/// Checks a text without connecting to an entry.
pub(crate) fn run(json: bool, file: &Path) -> Result<String, ToolError> {
    let text = read_text(file)?;
    let configuration = parse_configuration(&text).map_err(ToolError::Faults)?;
    if json {
        return Ok(format!("{}\n", json!({ "faults": [] })));
    }
    Ok(format!(
        "no fault: {} failure domains, {} teams, {} services\n",
        configuration.failure_domains.len(),
        configuration.teams.len(),
        configuration.services.len(),
    ))
}

/// Reads a configuration text; an unreadable file is a usage error.
pub(crate) fn read_text(file: &Path) -> Result<String, ToolError> {
    fs::read_to_string(file).map_err(|error| ToolError::Usage(format!("{}: {error}", file.display())))
}
