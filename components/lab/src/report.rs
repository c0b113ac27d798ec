//! Results of the policies as JSON and as a plot.

use std::path::Path;

use anyhow::Result;
use plotters::prelude::{
    BLACK, BLUE, ChartBuilder, GREEN, IntoDrawingArea as _, LineSeries, MAGENTA, PathElement, RED, RGBColor,
    SVGBackend, WHITE,
};
use serde::{Deserialize, Serialize};

use crate::site::SiteModel;
use crate::world::LabPolicy;

/// Length of a result window in microseconds.
const WINDOW_US: u64 = 2_000_000;
/// Width and height of a plot in pixels.
const PLOT_SIZE: (u32, u32) = (900, 500);
/// Line colours, assigned to the policies in order; the plot omits policies beyond the last colour.
const COLOURS: [RGBColor; 5] = [BLUE, RED, GREEN, MAGENTA, BLACK];

/// Number of programs of one kind by outcome.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KindResult {
    /// Name of the kind as in the site description.
    pub name: String,
    /// Programs that ended within their aim, the target duration.
    pub in_aim: u64,
    /// Programs that ended after their aim, but within twice the aim.
    pub late: u64,
    /// Programs that took longer, or that gave up after too many refusals.
    pub failed: u64,
}

/// Outcomes of the programs that started in one window.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WindowResult {
    /// Programs that ended within their aim.
    pub in_aim: u64,
    /// Programs that completed their last turn, at any time.
    pub ended: u64,
}

/// Result of one policy.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PolicyResult {
    /// Policy that was simulated.
    pub policy: LabPolicy,
    /// Outcomes by kind of program, in the order of the site description.
    pub kinds: Vec<KindResult>,
    /// Number of refusals of first turns.
    pub refusals: u64,
    /// Earned worth as a fraction of the worth that all programs within their aim would earn.
    pub worth_share: f64,
    /// Outcomes by start time of the programs, in windows of two seconds.
    pub windows: Vec<WindowResult>,
    /// Worth earned so far.
    #[serde(skip)]
    earned: f64,
    /// Worth of all recorded programs, had each ended within its aim.
    #[serde(skip)]
    owed: f64,
    /// `worth` and `late_worth` by kind.
    #[serde(skip)]
    worths: Vec<(f64, f64)>,
}

/// Results of all policies that were simulated with the same programs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ExperimentReport {
    /// Seed of the random numbers.
    pub seed: u64,
    /// Number of programs.
    pub programs: usize,
    /// One result for each policy.
    pub results: Vec<PolicyResult>,
}

impl PolicyResult {
    pub(crate) fn new(policy: LabPolicy, site: &SiteModel) -> Self {
        let kinds = site.kinds.iter().map(|kind| KindResult {
            name: kind.name.clone(),
            in_aim: 0,
            late: 0,
            failed: 0,
        });
        Self {
            policy,
            kinds: kinds.collect(),
            refusals: 0,
            worth_share: 0.0,
            windows: Vec::new(),
            earned: 0.0,
            owed: 0.0,
            worths: site
                .kinds
                .iter()
                .map(|kind| (kind.worth, kind.late_worth))
                .collect(),
        }
    }

    pub(crate) fn record_failed(&mut self, kind: usize) {
        self.kinds[kind].failed += 1;
        self.add_worth(kind, 0.0);
    }

    pub(crate) fn record_finished(
        &mut self,
        kind: usize,
        started_at_us: u64,
        duration_us: u64,
        aim_us: u64,
        late_factor: u64,
    ) {
        let (worth, late_worth) = self.worths[kind];
        let is_in_aim = duration_us <= aim_us;
        let window = usize::try_from(started_at_us / WINDOW_US).unwrap_or(usize::MAX);
        if self.windows.len() <= window {
            self.windows.resize(window + 1, WindowResult::default());
        }
        self.windows[window].ended += 1;
        self.windows[window].in_aim += u64::from(is_in_aim);
        if is_in_aim {
            self.kinds[kind].in_aim += 1;
            self.add_worth(kind, worth);
        } else if duration_us <= late_factor * aim_us {
            self.kinds[kind].late += 1;
            self.add_worth(kind, late_worth);
        } else {
            self.record_failed(kind);
        }
    }

    fn add_worth(&mut self, kind: usize, earned: f64) {
        self.earned += earned;
        self.owed += self.worths[kind].0;
        self.worth_share = self.earned / self.owed;
    }
}

/// Plots the share of programs that ended within their aim over their start time, one line for each policy.
///
/// # Errors
///
/// Fails when the file cannot be written.
#[expect(clippy::cast_precision_loss, reason = "counts of a run are small")]
pub fn draw_plot(report: &ExperimentReport, path: &Path) -> Result<()> {
    let windows = report.results.iter().map(|result| result.windows.len()).max();
    let seconds = windows.unwrap_or(1) as f64 * WINDOW_US as f64 / 1e6;
    let area = SVGBackend::new(path, PLOT_SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(
            "programs that end in their aim, by the second of their begin",
            ("sans-serif", 18),
        )
        .margin(12)
        .x_label_area_size(32)
        .y_label_area_size(44)
        .build_cartesian_2d(0.0..seconds, 0.0..1.0)?;
    chart
        .configure_mesh()
        .x_desc("seconds")
        .y_desc("share in aim")
        .draw()?;
    for (result, colour) in report.results.iter().zip(COLOURS) {
        let points = result.windows.iter().enumerate().map(|(number, window)| {
            let share = window.in_aim as f64 / window.ended.max(1) as f64;
            (number as f64 * WINDOW_US as f64 / 1e6, share)
        });
        chart
            .draw_series(LineSeries::new(points, colour))?
            .label(format!("{:?}, worth {:.3}", result.policy, result.worth_share))
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour));
    }
    chart.configure_series_labels().border_style(BLACK).draw()?;
    area.present()?;
    Ok(())
}
