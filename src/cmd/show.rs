//! `azuretide show`: prints the configuration text in force.

use serde_json::json;

use crate::cli::EntryOptions;
use crate::client::{AdminClient, AdminRequest};
use crate::error::ToolError;

/// Prints the text in force; its generation goes to standard error, so that the text can be saved as it is.
pub(crate) async fn run(options: &EntryOptions) -> Result<String, ToolError> {
    let answer = AdminClient::new(options)?
        .call(&AdminRequest::get("configuration"))
        .await?;
    let missing = || ToolError::Protocol("the answer carries no generation".to_owned());
    let generation = answer.generation.ok_or_else(missing)?;
    if options.json {
        return Ok(format!(
            "{}\n",
            json!({ "generation": generation, "text": answer.text() })
        ));
    }
    eprintln!("generation {generation}");
    Ok(answer.text())
}
