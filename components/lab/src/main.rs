//! Command line of the policy simulation.

use std::path::PathBuf;

use anyhow::{Context as _, Result};
use bpaf::Bpaf;
use lab::{ExperimentReport, LabPolicy, SiteModel, arrivals, draw_plot, run_policy};

/// Compares scheduling policies under load in a simulation of a site.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
struct LabOptions {
    /// Seed of the random numbers
    #[bpaf(argument("N"), fallback(1))]
    seed: u64,
    /// Bounds to compare: average running and waiting turns per engine from which new programs are refused
    #[bpaf(argument("TURNS"))]
    bound: Vec<u32>,
    /// File for the results as JSON; they go to standard output without this option
    #[bpaf(argument("FILE"))]
    output: Option<PathBuf>,
    /// File for a plot as SVG
    #[bpaf(argument("FILE"))]
    plot: Option<PathBuf>,
    /// Site description in INI form
    #[bpaf(positional("SITE"))]
    site: PathBuf,
}

fn main() -> Result<()> {
    let options = lab_options().run();
    let site = SiteModel::from_file(&options.site)?;
    let programs = arrivals(&site, options.seed);
    let bounds = options.bound.iter().copied().map(LabPolicy::Bound);
    let policies = [LabPolicy::Open, LabPolicy::Stages, LabPolicy::Admission]
        .into_iter()
        .chain(bounds);
    let report = ExperimentReport {
        seed: options.seed,
        programs: programs.len(),
        results: policies
            .map(|policy| run_policy(&site, &programs, policy, options.seed))
            .collect(),
    };
    let text = serde_json::to_string_pretty(&report)?;
    match &options.output {
        Some(path) => {
            std::fs::write(path, text).with_context(|| format!("cannot write {}", path.display()))?;
        }
        None => println!("{text}"),
    }
    if let Some(path) = &options.plot {
        draw_plot(&report, path)?;
    }
    Ok(())
}
