//! `azuretide usage`: shows the budget of a team.

use domain::TeamName;

use crate::answer::BudgetRow;
use crate::cli::EntryOptions;
use crate::client::AdminRequest;
use crate::cmd::print_answer;
use crate::error::ToolError;
use crate::output::{or_dash, table, time_text};

/// Shows the budget of a team in the present window.
pub(crate) async fn run(options: &EntryOptions, team: &TeamName) -> Result<String, ToolError> {
    print_answer(options, AdminRequest::get(format!("usage/{team}")), |answer| {
        let budget: BudgetRow = answer.decode()?;
        let row = [
            budget.team.to_string(),
            or_dash(budget.window_start.map(time_text)),
            budget.limit.to_string(),
            budget.spent.to_string(),
            or_dash(budget.reserved),
            budget.left.to_string(),
        ];
        Ok(table(
            ["TEAM", "WINDOW START", "LIMIT", "SPENT", "RESERVED", "LEFT"],
            [row].into_iter(),
        ))
    })
    .await
}
