//! Results of policies, as JSON and as a plot.

use std::path::Path;

use anyhow::Result;
use plotters::prelude::{
    BLACK, BLUE, ChartBuilder, GREEN, IntoDrawingArea as _, LineSeries, MAGENTA, PathElement, RED, RGBColor,
    SVGBackend, WHITE,
};
use serde::{Deserialize, Serialize};

use crate::site::SiteModel;
use crate::world::LabPolicy;

/// Length of a window in microseconds.
const WINDOW_US: u64 = 2_000_000;
/// Width and height of a plot in pixels.
const PLOT_SIZE: (u32, u32) = (900, 500);
/// Colours of the policies, in their order.
const COLOURS: [RGBColor; 5] = [BLUE, RED, GREEN, MAGENTA, BLACK];

/// How the programs of one kind ended.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KindResult {
    /// Name of the kind.
    pub name: String,
    /// Ended in their aim.
    pub in_aim: u64,
    /// Ended in twice their aim.
    pub late: u64,
    /// Ended later, or were refused too often.
    pub failed: u64,
}

/// How the programs fared that began in one window.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WindowResult {
    /// Ended in their aim.
    pub in_aim: u64,
    /// Ended at all.
    pub ended: u64,
}

/// What a policy came to.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PolicyResult {
    /// The policy.
    pub policy: LabPolicy,
    /// By kind.
    pub kinds: Vec<KindResult>,
    /// First turns that were refused.
    pub refusals: u64,
    /// Part of the worth of all programs that was earned.
    pub worth_share: f64,
    /// By the second in which programs began, two seconds each.
    pub windows: Vec<WindowResult>,
    #[serde(skip)]
    earned: f64,
    #[serde(skip)]
    owed: f64,
    #[serde(skip)]
    worths: Vec<(f64, f64)>,
}

/// The policies of an experiment.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ExperimentReport {
    /// Seed of the arrivals.
    pub seed: u64,
    /// Programs.
    pub programs: usize,
    /// Results.
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

    pub(crate) fn note_failed(&mut self, kind: usize) {
        self.kinds[kind].failed += 1;
        self.note_earned(kind, 0.0);
    }

    pub(crate) fn note_ended(
        &mut self,
        kind: usize,
        begun_us: u64,
        taken_us: u64,
        aim_us: u64,
        late_factor: u64,
    ) {
        let (worth, late_worth) = self.worths[kind];
        let is_in_aim = taken_us <= aim_us;
        let window = usize::try_from(begun_us / WINDOW_US).unwrap_or(usize::MAX);
        if self.windows.len() <= window {
            self.windows.resize(window + 1, WindowResult::default());
        }
        self.windows[window].ended += 1;
        self.windows[window].in_aim += u64::from(is_in_aim);
        if is_in_aim {
            self.kinds[kind].in_aim += 1;
            self.note_earned(kind, worth);
        } else if taken_us <= late_factor * aim_us {
            self.kinds[kind].late += 1;
            self.note_earned(kind, late_worth);
        } else {
            self.note_failed(kind);
        }
    }

    fn note_earned(&mut self, kind: usize, earned: f64) {
        self.earned += earned;
        self.owed += self.worths[kind].0;
        self.worth_share = self.earned / self.owed;
    }
}

/// Draws the share of programs in their aim over the time of their begin, one line for each policy.
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
