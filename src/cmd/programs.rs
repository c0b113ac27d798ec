//! `azuretide programs`: lists the programs.

use crate::cli::EntryOptions;
use crate::client::AdminRequest;
use crate::cmd::print_response;
use crate::error::ToolError;
use crate::output::{format_table, format_time, serialized_name, text_or_dash};
use crate::response::ProgramRow;

/// Lists the programs of all entries.
pub(crate) async fn run(options: &EntryOptions) -> Result<String, ToolError> {
    print_response(options, AdminRequest::get("programs"), |response| {
        let programs: Vec<ProgramRow> = response.decode()?;
        Ok(program_table(&programs))
    })
    .await
}

/// Returns a table with one row for each program.
pub(crate) fn program_table(programs: &[ProgramRow]) -> String {
    let header = [
        "PROGRAM", "TEAM", "PARENT", "URGENCY", "DEADLINE", "PHASE", "TENURE", "FINISHED", "OPEN", "CHARGED",
        "MESSAGES",
    ];
    let rows = programs.iter().map(|program| {
        [
            program.program.to_string(),
            program.team.to_string(),
            text_or_dash(program.parent),
            serialized_name(&program.urgency),
            text_or_dash(program.deadline.map(format_time)),
            serialized_name(&program.phase),
            program.tenure.to_string(),
            program.finished_calls.to_string(),
            program.open_calls.to_string(),
            program.charged.to_string(),
            program.messages.to_string(),
        ]
    });
    format_table(header, rows)
}
