//! `azuretide audit`: shows who changed what.

use crate::answer::AuditRow;
use crate::cli::EntryOptions;
use crate::client::AdminRequest;
use crate::cmd::print_answer;
use crate::error::ToolError;
use crate::output::table;

/// Shows the events behind a number.
pub(crate) async fn run(options: &EntryOptions, after: u64) -> Result<String, ToolError> {
    let request = AdminRequest::get(format!("audit?after={after}"));
    print_answer(options, request, |answer| {
        let events: Vec<AuditRow> = answer.decode()?;
        let rows = events.into_iter().map(|event| {
            let time = event.time_text();
            [
                event.number.to_string(),
                time,
                event.operator,
                event.action,
                event.subject,
                event.detail,
            ]
        });
        Ok(table(
            ["NUMBER", "TIME", "OPERATOR", "ACTION", "SUBJECT", "DETAIL"],
            rows,
        ))
    })
    .await
}
