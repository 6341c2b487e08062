//! Logs on standard error.

use logforth::{append, layout};

/// How log lines are written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "lowercase")]
pub enum Format {
    /// For people.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

/// Settings of the logs.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// How lines are written.
    pub format: Format,
    /// The least important level that is written.
    pub level: log::LevelFilter,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            format: Format::Text,
            level: log::LevelFilter::Info,
        }
    }
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
    log::set_max_level(settings.level);
    Ok(())
}
