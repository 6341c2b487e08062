//! Prints results and errors, as text or as JSON.

use crate::error::CtlError;

/// Exit code of a completed command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Exit {
    /// Exit code 0.
    Success,
    /// Exit code 1: the checked condition does not hold.
    Negative,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Output {
    /// Whether to print one JSON document instead of text.
    pub(crate) json: bool,
}

impl Output {
    /// Prints `text`, or `value` as JSON.
    pub(crate) fn print(self, text: &str, value: &impl serde::Serialize) {
        if self.json {
            print_json(value);
        } else if !text.is_empty() {
            println!("{}", text.trim_end());
        }
    }

    pub(crate) fn error(self, error: &CtlError) {
        if self.json {
            let mut value = serde_json::json!({
                "error": error.to_string(), "hint": error.hint(), "exit": error.exit_code(),
            });
            if let CtlError::InvalidConfig { faults, .. } = error {
                value["faults"] = serde_json::to_value(&faults.0).unwrap_or_default();
            }
            if let CtlError::VersionConflict {
                accepted,
                diff,
                changes,
                ..
            } = error
            {
                value["accepted"] = (*accepted).into();
                value["diff"] = diff.as_str().into();
                value["changes"] = serde_json::to_value(changes).unwrap_or_default();
            }
            print_json(&value);
        } else {
            eprintln!("error: {error}\nnext: {}", error.hint());
        }
    }
}

fn print_json(value: &impl serde::Serialize) {
    match serde_json::to_string_pretty(value) {
        Ok(text) => println!("{text}"),
        Err(error) => eprintln!("error: cannot write the result as JSON: {error}"),
    }
}
