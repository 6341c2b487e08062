//! The operators' text.

use std::{fmt::Write as _, hint};

use lentil_config::Market;
use lentil_policy::config_sync::Edit;

use super::{Line, Point, process};

const RUNNERS: [usize; 5] = [100, 200, 400, 600, 800];
const TEAMS: usize = 330;
const COPIES: usize = 16;

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

pub(super) fn lines() -> Vec<Line> {
    let point = |runners: usize, y| Point {
        x: runners as f64,
        y,
    };
    let size = |runners| point(runners, text(runners).len() as f64);
    let parse = |runners| {
        let text = text(runners);
        point(
            runners,
            process::nanos(5, || drop(hint::black_box(Market::parse(&text)))),
        )
    };
    let memory = |runners| {
        let text = text(runners);
        point(runners, process::memory_of(COPIES, || Market::parse(&text)))
    };
    let edit = |runners| {
        let old = text(runners).into_bytes();
        let mut new = old.clone();
        new[old.len() / 2] ^= 1;
        let edit = || drop(hint::black_box(Edit::between(&old, &new).apply(&old)));
        point(runners, process::nanos(5, edit))
    };
    vec![
        Line {
            name: "text: runners (330 teams) -> bytes",
            points: RUNNERS.map(size).to_vec(),
        },
        Line {
            name: "text: runners (330 teams) -> ns to read and check",
            points: RUNNERS.map(parse).to_vec(),
        },
        Line {
            name: "text: runners (330 teams) -> bytes of memory",
            points: RUNNERS.map(memory).to_vec(),
        },
        Line {
            name: "text: runners (330 teams) -> ns to make and apply an edit",
            points: RUNNERS.map(edit).to_vec(),
        },
    ]
}
