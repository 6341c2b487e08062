//! The operators' text.

use std::{fmt::Write as _, hint};

use lentil_config::Config;
use lentil_policy::config_sync::Edit;

use super::{Line, Point, process};

const RUNNERS: [usize; 5] = [100, 200, 400, 600, 800];
const TEAMS: usize = 330;
const COPIES: usize = 64;
/// The shortest of so many runs counts.
const RUNS: usize = 5;

/// A text with so many runners of one service.
fn text(runners: usize) -> String {
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
    for number in 0..TEAMS {
        let _ = writeln!(
            text,
            "[[team]]\nname = \"team-{number}\"\nweight = 1\nscope = \"scope-{number}\"\nkeys = [\"{number:064x}\"]"
        );
    }
    text
}

fn line(name: &'static str, cost: impl Fn(usize) -> f64) -> Line {
    let point = |runners: usize| Point {
        x: runners as f64,
        y: cost(runners),
    };
    Line {
        name,
        points: RUNNERS.map(point).to_vec(),
    }
}

pub(super) fn memory() -> Line {
    line("text: runners (330 teams) -> bytes of memory", |runners| {
        let text = text(runners);
        process::memory_of(COPIES, || Config::parse(&text))
    })
}

pub(super) fn size() -> Line {
    line("text: runners (330 teams) -> bytes", |runners| {
        text(runners).len() as f64
    })
}

pub(super) fn parse() -> Line {
    line(
        "text: runners (330 teams) -> ns to read and check",
        |runners| {
            let text = text(runners);
            process::nanos(RUNS, || drop(hint::black_box(Config::parse(&text))))
        },
    )
}

pub(super) fn edit() -> Line {
    line(
        "text: runners (330 teams) -> ns to make and apply an edit",
        |runners| {
            let old = text(runners).into_bytes();
            let mut new = old.clone();
            new[old.len() / 2] ^= 1;
            process::nanos(RUNS, || {
                drop(hint::black_box(Edit::between(&old, &new).apply(&old)));
            })
        },
    )
}
