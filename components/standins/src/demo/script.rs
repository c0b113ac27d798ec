//! The programs that the demo runs.

use anyhow::Context as _;
use futures::future::join_all;
use serde_json::json;
use tokio::time::Instant;

use super::DemoProgress;
use super::report::ProgramRow;
use crate::caller::TeamCaller;
use crate::session::ProgramSession;
use crate::testbed::Testbed;

/// Kind of a program.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ScriptKind {
    /// A program of Kelanimatch that matches an invoice with its order and receipt.
    Match,
    /// A program of Salish Hullworks that surveys a hull.
    Survey,
}

/// Texts, model and services that one kind of program uses.
#[derive(Debug)]
struct ScriptTexts {
    name: &'static str,
    model: &'static str,
    urgency: &'static str,
    opening: &'static str,
    lookup: &'static str,
    parts: [&'static str; 2],
    summary: &'static str,
    notice: &'static str,
    closing: &'static str,
}

const MATCH_TEXTS: ScriptTexts = ScriptTexts {
    name: "match",
    model: "matcher",
    urgency: "interactive",
    opening: "match the invoice against its order and its receipt, number",
    lookup: "ledger/receipts",
    parts: ["compare the quantities", "compare the prices"],
    summary: "weigh both comparisons and draft the dispute note",
    notice: "notices/disputes",
    closing: "file the note with the invoice",
};

const SURVEY_TEXTS: ScriptTexts = ScriptTexts {
    name: "survey",
    model: "surveyor",
    urgency: "emergency",
    opening: "survey the hull within the air window, berth",
    lookup: "ledger/tides",
    parts: [
        "read the diver's notes on the fore hull",
        "read the diver's notes on the aft hull",
    ],
    summary: "answer the dive lead with both findings",
    notice: "notices/invoices",
    closing: "plan the next dive",
};

/// One program, which runs two sub-agents as child programs.
#[derive(Debug)]
pub(super) struct DemoScript {
    texts: &'static ScriptTexts,
    number: usize,
    caller: TeamCaller,
    progress: DemoProgress,
}

impl DemoScript {
    /// Creates a script. Programs with odd and even numbers send their first request to different entries.
    pub(super) fn new(
        kind: ScriptKind,
        number: usize,
        team_key: &str,
        testbed: &Testbed,
        progress: &DemoProgress,
    ) -> Self {
        let texts = match kind {
            ScriptKind::Match => &MATCH_TEXTS,
            ScriptKind::Survey => &SURVEY_TEXTS,
        };
        Self {
            texts,
            number,
            caller: TeamCaller::new(testbed.entry_urls(), number % 2, team_key),
            progress: progress.clone(),
        }
    }

    /// Runs the program and its sub-agents and returns the result of each, that of the program first.
    pub(super) async fn play(self) -> Vec<ProgramRow> {
        let name = format!("{} {}", self.texts.name, self.number + 1);
        let session = self.start_session(None).await;
        let session = match session {
            Ok(session) => session,
            Err(error) => return vec![self.failed_row(name, &error)],
        };
        let mut row = ProgramRow::new(name, self.texts.name, session.program());
        self.progress
            .print(&row.name, &format!("started as {}", row.program));
        let mut children = Vec::new();
        let started = Instant::now();
        let mut session = session;
        let result = self.play_root(&mut session, &mut row, &mut children).await;
        let result = match result {
            Ok(()) => session.finish().await,
            Err(error) => {
                row.tally = session.tally();
                Err(error)
            }
        };
        row.close(result, started.elapsed());
        self.progress.print(&row.name, &row.outcome_text());
        children.insert(0, row);
        children
    }

    async fn play_root(
        &self,
        session: &mut ProgramSession,
        row: &mut ProgramRow,
        children: &mut Vec<ProgramRow>,
    ) -> anyhow::Result<()> {
        let texts = self.texts;
        let opening = format!("{} {}", texts.opening, 1041 + self.number);
        session.turn("user", &opening, 20).await?;
        self.progress.count_call();
        let found = self.look_up(session, &row.name).await?;
        let parts = texts.parts.iter().enumerate();
        let parts = parts.map(|(index, part)| self.play_child(&row.name, session.program(), index, part));
        let mut findings = format!("the lookup says {found}");
        for (child, finding) in join_all(parts).await {
            children.push(child);
            findings += " and a sub-agent says ";
            findings += &finding.context("a sub-agent failed")?;
        }
        session
            .stream("tool", &format!("{findings}; {}", texts.summary), 60)
            .await?;
        self.progress.count_call();
        let note = json!({"program": session.program(), "number": self.number, "text": texts.summary});
        session.call_service(texts.notice, &note).await?;
        row.notices.push(note);
        self.progress.count_call();
        self.progress.print(&row.name, "non-idempotent notice sent");
        session.turn("user", texts.closing, 20).await?;
        self.progress.count_call();
        Ok(())
    }

    async fn play_child(
        &self,
        parent_name: &str,
        parent: &str,
        index: usize,
        part: &str,
    ) -> (ProgramRow, Option<String>) {
        let name = format!("{parent_name}, sub-agent {}", index + 1);
        let mut session = match self.start_session(Some(parent)).await {
            Ok(session) => session,
            Err(error) => return (self.failed_row(name, &error), None),
        };
        let mut row = ProgramRow::new(name, self.texts.name, session.program());
        let started = Instant::now();
        let result = self.play_part(&mut session, &row.name, part).await;
        let (finding, result) = match result {
            Ok(finding) => (Some(finding), session.finish().await),
            Err(error) => {
                row.tally = session.tally();
                (None, Err(error))
            }
        };
        row.close(result, started.elapsed());
        (row, finding)
    }

    async fn play_part(
        &self,
        session: &mut ProgramSession,
        name: &str,
        part: &str,
    ) -> anyhow::Result<String> {
        session.turn("user", part, 25).await?;
        self.progress.count_call();
        let found = self.look_up(session, name).await?;
        let finding = session.turn("tool", &found, 15).await?;
        self.progress.count_call();
        Ok(finding.trim().to_owned())
    }

    async fn look_up(&self, session: &mut ProgramSession, name: &str) -> anyhow::Result<String> {
        let question = json!({"asked-by": name});
        let found = session.call_service(self.texts.lookup, &question).await?;
        self.progress.count_call();
        Ok(found.to_string())
    }

    async fn start_session(&self, parent: Option<&str>) -> anyhow::Result<ProgramSession> {
        let texts = self.texts;
        ProgramSession::start(self.caller.clone(), texts.model, texts.urgency, parent).await
    }

    fn failed_row(&self, name: String, error: &anyhow::Error) -> ProgramRow {
        let mut row = ProgramRow::new(name, self.texts.name, "");
        row.tally.lost += 1;
        row.fault = Some(format!("{error:#}"));
        self.progress.print(&row.name, &row.outcome_text());
        row
    }
}
