//! Costs of the configuration.

use std::{fmt::Write as _, hint};

use lentil_config::Config;
use lentil_policy::config_sync::Edit;

use super::{Point, Series, process};

const RUNNER_COUNTS: [usize; 5] = [100, 200, 400, 600, 800];
const TEAM_COUNT: usize = 330;
const COPIES: usize = 64;
/// Runs of each timing; the shortest counts.
const RUNS: usize = 5;

/// A configuration text with this number of runners of one service.
fn config_text(runners: usize) -> String {
    let mut text = String::from(
        "region = \"nw-georgia\"\n[[place]]\nname = \"hall-intake\"\n[[service]]\n\
         name = \"sortmind\"\nkind = \"engine\"\nrunners = [\n",
    );
    for number in 0..runners {
        let (high, low) = (number / 250, number % 250);
        let _ = writeln!(
            text,
            "    {{ name = \"sortmind-{number}\", place = \"hall-intake\", address = \"10.0.{high}.{low}:7100\" }},"
        );
    }
    text.push_str("]\n");
    for number in 0..TEAM_COUNT {
        let _ = writeln!(
            text,
            "[[team]]\nname = \"team-{number}\"\nweight = 1\nscope = \"scope-{number}\"\nkeys = [\"{number:064x}\"]"
        );
    }
    text
}

fn series(name: &'static str, cost: impl Fn(usize) -> f64) -> Series {
    let point = |runners: usize| Point {
        x: runners as f64,
        y: cost(runners),
    };
    Series {
        name,
        points: RUNNER_COUNTS.map(point).to_vec(),
    }
}

pub(super) fn memory() -> Series {
    series("text: runners (330 teams) -> bytes of memory", |runners| {
        let text = config_text(runners);
        process::memory_of(COPIES, || Config::parse(&text))
    })
}

pub(super) fn size() -> Series {
    series("text: runners (330 teams) -> bytes", |runners| {
        config_text(runners).len() as f64
    })
}

pub(super) fn parse() -> Series {
    series(
        "text: runners (330 teams) -> ns to read and check",
        |runners| {
            let text = config_text(runners);
            process::min_nanos(RUNS, || drop(hint::black_box(Config::parse(&text))))
        },
    )
}

pub(super) fn edit() -> Series {
    series(
        "text: runners (330 teams) -> ns to make and apply an edit",
        |runners| {
            let old = config_text(runners).into_bytes();
            let mut new = old.clone();
            new[old.len() / 2] ^= 1;
            process::min_nanos(RUNS, || {
                drop(hint::black_box(Edit::between(&old, &new).apply(&old)));
            })
        },
    )
}
