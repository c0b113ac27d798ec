//! `azuretide usage`: shows the budget of a team.

use domain::TeamName;

use crate::cli::EntryOptions;
use crate::client::AdminRequest;
use crate::cmd::print_response;
use crate::error::ToolError;
use crate::output::{format_table, format_time, text_or_dash};
use crate::response::BudgetRow;

/// Shows the budget of a team in the current window.
pub(crate) async fn run(options: &EntryOptions, team: &TeamName) -> Result<String, ToolError> {
    print_response(options, AdminRequest::get(format!("usage/{team}")), |response| {
        let budget: BudgetRow = response.decode()?;
        let row = [
            budget.team.to_string(),
            text_or_dash(budget.window_start.map(format_time)),
            budget.limit.to_string(),
            budget.spent.to_string(),
            text_or_dash(budget.reserved),
            budget.left.to_string(),
        ];
        Ok(format_table(
            ["TEAM", "WINDOW START", "LIMIT", "SPENT", "RESERVED", "LEFT"],
            [row].into_iter(),
        ))
    })
    .await
}
