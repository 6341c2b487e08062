//! `compare`: prints the figures of each policy on the traces.

use std::{path, process};

use lentil_config::Objective;
use strum::IntoEnumIterator as _;

use crate::{Figures, Model, Policy, Region, ReplayError, Scenario, Setup, load, sim};

/// Prints the figures of each policy on the traces.
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "compare")]
pub struct Args {
    /// region: dalton or lombardy
    #[argh(option)]
    pub market: Region,
    /// scenario: steady, shift, crash, herd or overload (default: all)
    #[argh(option)]
    pub scenario: Option<Scenario>,
    /// policy (default: all)
    #[argh(option)]
    pub policy: Option<Policy>,
    /// objective (default: that of the region's configuration)
    #[argh(option)]
    pub objective: Option<Objective>,
    /// folder of the traces
    #[argh(option, default = "path::PathBuf::from(\"traces\")")]
    pub traces: path::PathBuf,
    /// print JSON, one line for each scenario and policy
    #[argh(switch)]
    pub json: bool,
}

#[derive(serde::Serialize)]
struct Line<'a> {
    market: String,
    scenario: String,
    policy: Policy,
    figures: &'a Figures,
}

/// Runs the selected replays.
///
/// # Errors
/// [`ReplayError`] when a trace cannot be read.
pub fn run(args: &Args) -> Result<process::ExitCode, ReplayError> {
    let scenarios = Scenario::iter().filter(|one| args.scenario.is_none_or(|only| only == *one));
    for scenario in scenarios {
        print_scenario(args, scenario)?;
    }
    Ok(process::ExitCode::SUCCESS)
}

fn print_scenario(args: &Args, scenario: Scenario) -> Result<(), ReplayError> {
    let config = args.market.config()?;
    let records = load(&args.traces, args.market, scenario)?;
    if !args.json {
        println!("\n{} {scenario}: {} requests", args.market, records.len());
        println!("{HEADINGS}");
    }
    let policies = Policy::iter().filter(|one| args.policy.is_none_or(|only| only == *one));
    for policy in policies {
        let report = sim::run(Setup {
            config: &config,
            objective: args.objective.unwrap_or(config.objective),
            records: &records,
            fault: scenario.fault(),
            model: Model::new(args.market),
            policy,
        });
        let figures = report.figures();
        if args.json {
            print_json(args, scenario, policy, &figures)?;
        } else {
            print_text(policy, &figures);
        }
    }
    Ok(())
}

fn print_json(
    args: &Args,
    scenario: Scenario,
    policy: Policy,
    figures: &Figures,
) -> Result<(), ReplayError> {
    let line = Line {
        market: args.market.to_string(),
        scenario: scenario.to_string(),
        policy,
        figures,
    };
    println!(
        "{}",
        serde_json::to_string(&line).map_err(ReplayError::Json)?
    );
    Ok(())
}

const HEADINGS: &str = "policy        hit    waste  import fair   msgs  \
    | class: requests refused lost, first token p50 p95 p99 s, longest wait s";

fn print_text(policy: Policy, figures: &Figures) {
    let fairness = figures
        .fairness
        .map_or_else(|| "-".to_owned(), |part| format!("{part:.3}"));
    print!(
        "{:<13} {:.4} {:.4} {:.4} {fairness:<6} {:<5.2}",
        policy.to_string(),
        figures.hit_rate,
        figures.waste,
        figures.imported,
        figures.messages,
    );
    for class in &figures.classes {
        print!(
            " | {}: {} {} {}, {:.3} {:.3} {:.3}, {:.1}",
            class.class,
            class.requests,
            class.refused,
            class.lost,
            class.p50,
            class.p95,
            class.p99,
            class.longest_wait,
        );
    }
    println!();
}
