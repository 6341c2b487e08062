//! Logging to standard error or standard output.

mod quota;

use logforth::{append, layout};

use crate::panics;

pub use quota::{Quota, QuotaSettings};

/// Lines that may wait for standard output. Further ones are dropped, so that a
/// slow reader never blocks the process.
const MAX_WAITING_LINES: usize = 4_096;

/// Format of log lines.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    serde::Serialize,
    serde::Deserialize,
    strum::Display,
    strum::EnumString,
)]
#[serde(rename_all = "lowercase")]
#[strum(serialize_all = "lowercase")]
pub enum Format {
    /// Human-readable text.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// Lowest severity logged.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    serde::Serialize,
    serde::Deserialize,
    strum::Display,
    strum::EnumString,
)]
#[serde(rename_all = "lowercase")]
#[strum(serialize_all = "lowercase")]
pub enum Level {
    /// Only failures that need an operator.
    Error,
    /// Also failures that were handled.
    Warn,
    /// Also state changes.
    #[default]
    Info,
    /// Also every request.
    Debug,
}

impl From<Level> for log::LevelFilter {
    fn from(level: Level) -> Self {
        match level {
            Level::Error => Self::Error,
            Level::Warn => Self::Warn,
            Level::Info => Self::Info,
            Level::Debug => Self::Debug,
        }
    }
}

/// Destination of log lines.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    serde::Serialize,
    serde::Deserialize,
    strum::Display,
    strum::EnumString,
)]
#[serde(rename_all = "lowercase")]
#[strum(serialize_all = "lowercase")]
pub enum Output {
    /// Standard error, written synchronously.
    #[default]
    Stderr,
    /// Standard output, written by a separate thread; never blocks the process.
    Stdout,
}

/// Settings of the logger.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Format of the lines.
    pub format: Format,
    /// Lowest severity logged.
    pub level: Level,
    /// Destination of the lines.
    pub output: Output,
}

/// Logging was already started.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("logging was already started")]
pub struct AlreadyStarted;

/// Installs the process-wide logger.
///
/// # Errors
/// [`AlreadyStarted`] when it was called before; nothing changes then.
pub fn init(settings: Settings) -> Result<(), AlreadyStarted> {
    let builder = logforth::starter_log::builder();
    let builder = match settings.output {
        Output::Stderr => builder.dispatch(|dispatch| dispatch.append(stderr(settings.format))),
        Output::Stdout => builder.dispatch(|dispatch| {
            let lines = append::asynchronous::AsyncBuilder::new("logs")
                .buffered_lines_limit(Some(MAX_WAITING_LINES))
                .overflow_drop_incoming()
                .append(stdout(settings.format));
            dispatch.append(lines.build())
        }),
    };
    builder.try_apply().map_err(|_| AlreadyStarted)?;
    log::set_max_level(settings.level.into());
    panics::log_panics();
    Ok(())
}

fn stderr(format: Format) -> append::Stderr {
    match format {
        Format::Text => append::Stderr::default().with_layout(text()),
        Format::Json => append::Stderr::default().with_layout(layout::JsonLayout::default()),
    }
}

fn stdout(format: Format) -> append::Stdout {
    match format {
        Format::Text => append::Stdout::default().with_layout(text()),
        Format::Json => append::Stdout::default().with_layout(layout::JsonLayout::default()),
    }
}

fn text() -> layout::TextLayout {
    layout::TextLayout::default().no_color()
}
