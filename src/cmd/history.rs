//! `azuretide history`: prints the messages of a program.

use domain::ProgramKey;

use crate::cli::EntryOptions;
use crate::client::AdminRequest;
use crate::cmd::print_response;
use crate::error::ToolError;
use crate::output::{format_table, serialized_name};
use crate::response::HistoryResponse;

/// Prints the messages of a program, oldest first.
pub(crate) async fn run(options: &EntryOptions, program: ProgramKey) -> Result<String, ToolError> {
    print_response(
        options,
        AdminRequest::get(format!("programs/{program}/history")),
        |response| {
            let history: HistoryResponse = response.decode()?;
            let rows = (1..).zip(history.messages).map(|(number, message)| {
                let number: u64 = number;
                [
                    number.to_string(),
                    serialized_name(&message.role),
                    message.content,
                ]
            });
            Ok(format_table(["NUMBER", "ROLE", "CONTENT"], rows))
        },
    )
    .await
}
