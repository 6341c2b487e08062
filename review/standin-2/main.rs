//! Stand-ins and cases of the second review. `standin CASE FOLDER` plays one case, writes its
//! record to the folder, and ends with 1 if the rule was broken, 0 if it held and 2 if the
//! case could not run. With `TROUBLE=0` the disruption is left out.

mod callers;
mod cases;
mod deployment;
mod net;
mod record;
mod runner;
mod store;
mod system;

use std::process::ExitCode;

/// What a case found.
pub enum Verdict {
    Held,
    Broken,
    /// It did not come to what the case is about.
    NotRun,
}

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("standin CASE FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let play = move || {
        let record = record::Record::create(&format!("{folder}/record.txt"));
        match case.as_str() {
            "address" => cases::address::play(&record, has_trouble),
            "entry" => cases::entry::play(&record, has_trouble),
            "isolated" => cases::isolated::play(&record, has_trouble),
            "lookup" => cases::lookup::play(&record, has_trouble),
            "copy" => cases::copy::play(&record, has_trouble),
            _ => panic!("unknown case"),
        }
    };
    // A panic drops what the case holds, and so ends its processes.
    match std::panic::catch_unwind(play) {
        Ok(Verdict::Held) => ExitCode::SUCCESS,
        Ok(Verdict::Broken) => ExitCode::from(1),
        Ok(Verdict::NotRun) | Err(_) => ExitCode::from(2),
    }
}
