//! `azuretide history`: prints the messages of a program.

use domain::ProgramKey;

use crate::answer::HistoryAnswer;
use crate::cli::EntryOptions;
use crate::client::AdminRequest;
use crate::cmd::print_answer;
use crate::error::ToolError;
use crate::output::{table, word};

/// Prints the messages of a program in their order.
pub(crate) async fn run(options: &EntryOptions, program: ProgramKey) -> Result<String, ToolError> {
    print_answer(
        options,
        AdminRequest::get(format!("programs/{program}/history")),
        |answer| {
            let history: HistoryAnswer = answer.decode()?;
            let rows = (1..).zip(history.messages).map(|(number, message)| {
                let number: u64 = number;
                [number.to_string(), word(&message.role), message.content]
            });
            Ok(table(["NUMBER", "ROLE", "CONTENT"], rows))
        },
    )
    .await
}
