//! Programs and turns of workspaces that use the same names.

mod support;

use bytes::Bytes;
use domain::WorkspaceKey;
use googletest::prelude::*;
use ledger::{LedgerError, LedgerHosts, LedgerRecord, ProgramKey, RecordTable, TurnKey, TurnRecord};
use support::{addresses, client_of, start_hosts};

const WORKSPACES: [Option<WorkspaceKey>; 3] = [None, Some(WorkspaceKey(1)), Some(WorkspaceKey(2))];

fn turn_key(id: &str, workspace: Option<WorkspaceKey>) -> TurnKey {
    let turn = TurnKey::from_id(id.as_bytes());
    workspace.map_or(turn, |workspace| turn.in_workspace(workspace))
}

fn turn_record(id: &str, workspace: Option<WorkspaceKey>) -> TurnRecord {
    TurnRecord {
        program: ProgramKey(1),
        turn: turn_key(id, workspace),
        previous: None,
        input: Bytes::from_static(b"in"),
        output: Bytes::from_static(b"out"),
        retention_ms: 60_000,
    }
}

#[gtest]
fn the_same_names_are_other_keys_in_each_workspace() {
    let program = ProgramKey::from_name(b"name");
    let programs = WORKSPACES.map(|workspace| workspace.map_or(program, |key| program.in_workspace(key)));
    let turns = WORKSPACES.map(|workspace| turn_key("name", workspace));
    for (first, second) in [(0, 1), (0, 2), (1, 2)] {
        expect_that!(programs[first], not(eq(programs[second])));
        expect_that!(turns[first], not(eq(turns[second])));
        expect_that!(turns[first].same_id(), eq(&turns[second].same_id()));
    }
    expect_that!(turns[0].same_id().contains(&turn_key("other", None)), eq(false));
}

/// Whose turn is stored, whose is looked for, and what is known of it.
struct ForeignCase {
    stored: Option<WorkspaceKey>,
    sought: (&'static str, Option<WorkspaceKey>),
    is_found: bool,
    is_foreign: bool,
}

#[gtest]
#[tokio::test]
async fn a_turn_of_another_workspace_is_told_from_one_that_nobody_knows() {
    let [none, first, second] = WORKSPACES;
    let case = |stored, sought, is_found, is_foreign| ForeignCase {
        stored,
        sought,
        is_found,
        is_foreign,
    };
    let cases = [
        case(none, ("turn", none), true, false),
        case(none, ("turn", first), false, true),
        case(first, ("turn", first), true, false),
        case(first, ("turn", second), false, true),
        case(first, ("turn", none), false, true),
        case(first, ("never", first), false, false),
    ];
    for case in cases {
        let name = format!("{:?} of {:?}", case.sought, case.stored);
        let sought = turn_key(case.sought.0, case.sought.1);
        let mut table = RecordTable::new(1_000);
        table.apply(&LedgerRecord::Turn(turn_record("turn", case.stored)), 0);
        expect_that!(table.has_foreign_turn(sought), eq(case.is_foreign), "{name}");
        let folder = tempfile::tempdir().expect("a folder");
        let hosts = start_hosts(&["a", "b", "c", "d"], folder.path()).await;
        let client = client_of(1, &LedgerHosts::new(addresses(&hosts))).await;
        client
            .store_turn(turn_record("turn", case.stored))
            .await
            .expect("stored");
        let found = client.fetch_chain(sought, None).await;
        let expected = if case.is_found {
            Ok(vec![turn_record("turn", case.stored)])
        } else {
            Err(LedgerError::UnknownTurn)
        };
        expect_that!(found, eq(&expected), "{name}");
        expect_that!(
            client.has_foreign_turn(sought).await,
            eq(case.is_foreign),
            "{name}"
        );
        for host in &hosts {
            host.task.abort();
        }
        expect_that!(
            client.has_foreign_turn(sought).await,
            eq(false),
            "{name}, hosts lost"
        );
    }
}
