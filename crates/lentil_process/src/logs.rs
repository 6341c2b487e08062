//! Logs on standard error.

use logforth::{append, layout};

/// How log lines are written.
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
    /// For people.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

/// The least important lines that are written.
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
    /// Only failures that an operator must see.
    Error,
    /// Also what went wrong and was dealt with.
    Warn,
    /// Also what changed.
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

/// Settings of the logs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// How lines are written.
    pub format: Format,
    /// The least important lines that are written.
    pub level: Level,
}

/// Logging was started before.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("logging was started before")]
pub struct AlreadyStarted;

/// Starts logging.
///
/// # Errors
/// [`AlreadyStarted`] when it was called before; nothing changes then.
pub fn init(settings: Settings) -> Result<(), AlreadyStarted> {
    let stderr = match settings.format {
        Format::Text => {
            append::Stderr::default().with_layout(layout::TextLayout::default().no_color())
        }
        Format::Json => append::Stderr::default().with_layout(layout::JsonLayout::default()),
    };
    let builder = logforth::starter_log::builder().dispatch(|dispatch| dispatch.append(stderr));
    builder.try_apply().map_err(|_| AlreadyStarted)?;
    log::set_max_level(settings.level.into());
    Ok(())
}
