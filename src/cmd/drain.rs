//! `azuretide drain`: drains a process.

use domain::HostName;

use crate::cli::EntryOptions;
use crate::client::AdminRequest;
use crate::cmd::print_response;
use crate::error::ToolError;

/// Requests that the process of a host drains.
pub(crate) async fn run(options: &EntryOptions, host: &HostName) -> Result<String, ToolError> {
    let request = AdminRequest::post(format!("hosts/{host}/drain"));
    print_response(options, request, |_response| Ok(format!("{host} is leaving\n"))).await
}
