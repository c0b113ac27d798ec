//! `azuretide audit`: shows the audit trail.

use crate::cli::EntryOptions;
use crate::client::AdminRequest;
use crate::cmd::print_response;
use crate::error::ToolError;
use crate::output::format_table;
use crate::response::AuditRow;

/// Shows the events after a number.
pub(crate) async fn run(options: &EntryOptions, after: u64) -> Result<String, ToolError> {
    let request = AdminRequest::get(format!("audit?after={after}"));
    print_response(options, request, |response| {
        let events: Vec<AuditRow> = response.decode()?;
        let rows = events.into_iter().map(|event| {
            let time = event.format_time();
            [
                event.number.to_string(),
                time,
                event.operator,
                event.action,
                event.subject,
                event.detail,
            ]
        });
        Ok(format_table(
            ["NUMBER", "TIME", "OPERATOR", "ACTION", "SUBJECT", "DETAIL"],
            rows,
        ))
    })
    .await
}
