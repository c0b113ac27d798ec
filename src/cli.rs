//! Subcommands and their options.

use std::net::SocketAddr;
use std::path::PathBuf;

use bpaf::{Bpaf, ShellComp};
use domain::{HostName, ProgramKey, TeamName};

const FILE: ShellComp = ShellComp::File { mask: None };

/// Options of the subcommands that send requests to an entry.
#[derive(Debug, Clone, Bpaf)]
pub(crate) struct EntryOptions {
    /// Address of an entry; may be given several times: the next is tried when one does not answer
    #[bpaf(long("entry"), argument("IP:PORT"), some("--entry IP:PORT is required"))]
    pub(crate) entries: Vec<SocketAddr>,
    /// File that holds the operators' key
    #[bpaf(long, argument("FILE"), complete_shell(FILE))]
    pub(crate) key_file: PathBuf,
    /// Operator name for the audit trail
    #[bpaf(long, env("USER"), argument("NAME"), fallback("unnamed".to_owned()))]
    pub(crate) operator: String,
    /// Timeout for one response
    #[bpaf(long, argument("SECONDS"), fallback(10), display_fallback)]
    pub(crate) timeout_s: u64,
    /// Prints JSON for scripts
    #[bpaf(long)]
    pub(crate) json: bool,
}

const EXIT_STATUS: &str = "Exit status: 0 done, 1 refused by the system, 2 usage, 3 faults in the text, \
    4 conflict with another change, 5 no entry answered.";

/// Manages azuretide: checks and applies its configuration and shows its state.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version, footer(EXIT_STATUS))]
pub(crate) enum ToolCommand {
    /// Checks a configuration text without connecting to the system
    #[bpaf(command)]
    Check {
        /// Prints JSON for scripts
        #[bpaf(long)]
        json: bool,
        /// Configuration text
        #[bpaf(positional("FILE"), complete_shell(FILE))]
        file: PathBuf,
    },
    /// Applies a configuration text over the generation that it was edited from
    #[bpaf(command)]
    Apply {
        #[bpaf(external(entry_options))]
        options: EntryOptions,
        /// Generation that the text was edited from; 0 for the first text
        #[bpaf(long, argument("GENERATION"))]
        base: u64,
        /// Configuration text
        #[bpaf(positional("FILE"), complete_shell(FILE))]
        file: PathBuf,
    },
    /// Prints the configuration text in force, and its generation on standard error
    #[bpaf(command)]
    Show {
        #[bpaf(external(entry_options))]
        options: EntryOptions,
    },
    /// Shows the processes with the generation in force at each, queues, programs and budgets
    #[bpaf(command)]
    Status {
        #[bpaf(external(entry_options))]
        options: EntryOptions,
    },
    /// Shows the audit trail: which operator changed what and when
    #[bpaf(command)]
    Audit {
        #[bpaf(external(entry_options))]
        options: EntryOptions,
        /// Shows only the events after this number
        #[bpaf(long, argument("NUMBER"), fallback(0))]
        after: u64,
    },
    /// Shows the budget of a team in the current window
    #[bpaf(command)]
    Usage {
        #[bpaf(external(entry_options))]
        options: EntryOptions,
        /// Name of the team
        #[bpaf(positional("TEAM"))]
        team: TeamName,
    },
    /// Lists the programs of all entries
    #[bpaf(command)]
    Programs {
        #[bpaf(external(entry_options))]
        options: EntryOptions,
    },
    /// Prints the messages of a program
    #[bpaf(command)]
    History {
        #[bpaf(external(entry_options))]
        options: EntryOptions,
        /// Key of the program, as in p-1-1
        #[bpaf(positional("PROGRAM"))]
        program: ProgramKey,
    },
    /// Drains a process: it accepts no new work and stops when its calls have ended
    #[bpaf(command)]
    Drain {
        #[bpaf(external(entry_options))]
        options: EntryOptions,
        /// Name of the host
        #[bpaf(positional("HOST"))]
        host: HostName,
    },
    /// Cancels a program
    #[bpaf(command)]
    Cancel {
        #[bpaf(external(entry_options))]
        options: EntryOptions,
        /// Key of the program, as in p-1-1
        #[bpaf(positional("PROGRAM"))]
        program: ProgramKey,
    },
}

impl ToolCommand {
    /// Returns whether results and errors are printed as JSON.
    pub(crate) fn prints_json(&self) -> bool {
        match self {
            Self::Check { json, .. } => *json,
            Self::Apply { options, .. }
            | Self::Show { options }
            | Self::Status { options }
            | Self::Audit { options, .. }
            | Self::Usage { options, .. }
            | Self::Programs { options }
            | Self::History { options, .. }
            | Self::Drain { options, .. }
            | Self::Cancel { options, .. } => options.json,
        }
    }
}
