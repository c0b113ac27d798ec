//! `azuretide show`: prints the configuration text in force.

use serde_json::json;

use crate::cli::EntryOptions;
use crate::client::{AdminClient, AdminRequest};
use crate::error::ToolError;

/// Prints the current text on standard output and its generation on standard error, so that redirected output
/// contains only the text.
pub(crate) async fn run(options: &EntryOptions) -> Result<String, ToolError> {
    let response = AdminClient::new(options)?
        .call(&AdminRequest::get("configuration"))
        .await?;
    let missing = || ToolError::Protocol("the answer carries no generation".to_owned());
    let generation = response.generation.ok_or_else(missing)?;
    if options.json {
        return Ok(format!(
            "{}\n",
            json!({ "generation": generation, "text": response.text() })
        ));
    }
    eprintln!("generation {generation}");
    Ok(response.text())
}
