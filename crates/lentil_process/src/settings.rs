//! Settings of a process: a TOML file, overridden by the environment, which is
//! overridden by flags.
//!
//! A key `entry.listen` of the file is `LENTIL_ENTRY__LISTEN` in the environment
//! and `--set entry.listen=...` as a flag.
//!
//! ```
//! use lentil_process::settings::{Loader, ProcessSettings};
//!
//! let settings: ProcessSettings = Loader::new()
//!     .text("node = 'entry-1'\nplace = 'hall-intake'\nfleet_key = 'sixteen bytes or more'")
//!     .set("entry.listen=127.0.0.1:8080")?
//!     .load()?;
//! assert_eq!(settings.entry()?.listen.port(), 8080);
//! # Ok::<(), lentil_process::settings::SettingsError>(())
//! ```

use std::{io, net, path};

use figment::providers::{self, Format as _};
use lentil_types::{NameError, NodeName, PlaceName, RegionName, RunnerName};

use crate::{Secret, logs, metrics};

/// What environment variables for settings begin with.
const ENV_PREFIX: &str = "LENTIL_";
/// Shortest fleet key, in bytes.
const MIN_KEY_BYTES: usize = 16;

/// Settings that cannot be used.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum SettingsError {
    /// A file could not be read.
    #[error("cannot read {}: {source}", path.display())]
    File {
        /// The file.
        path: path::PathBuf,
        /// Why.
        source: io::Error,
    },
    /// A key is unknown or missing, or a value has another type.
    #[error("{0}")]
    Value(Box<figment::Error>),
    /// A flag is not of the form `key=value`.
    #[error("--set {0:?} is not of the form key=value")]
    Flag(String),
    /// A part that this process needs is missing.
    #[error("the settings have no [{0}] table, which this process needs")]
    MissingTable(&'static str),
    /// A platform is set and no region.
    #[error("a process with a platform needs a region")]
    NoRegion,
    /// No fleet key is set, or two are.
    #[error("set one of fleet_key and fleet_key_file")]
    NoFleetKey,
    /// The fleet key is too short.
    #[error("the fleet key has {0} bytes; {MIN_KEY_BYTES} are the least")]
    ShortFleetKey(usize),
    /// A name is not well formed.
    #[error(transparent)]
    Name(#[from] NameError),
}

impl From<figment::Error> for SettingsError {
    fn from(error: figment::Error) -> Self {
        Self::Value(Box::new(error))
    }
}

/// Settings of a process, checked.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProcessSettings {
    /// Name of the process, unique in its fleet.
    pub node: NodeName,
    /// The data centre it is in.
    pub place: PlaceName,
    /// The region whose documents the platform holds for it.
    #[serde(default)]
    pub region: Option<RegionName>,
    /// Where its admin server listens.
    #[serde(default = "default_admin")]
    pub admin: net::SocketAddr,
    /// Key that the admin server asks for.
    #[serde(default)]
    pub admin_key: Option<Secret>,
    /// Where the platform's object API and instance list answer.
    #[serde(default)]
    pub platform: Option<net::SocketAddr>,
    /// The fleet's secret, at least 16 bytes.
    #[serde(default)]
    pub fleet_key: Option<Secret>,
    /// File that holds the fleet's secret.
    #[serde(default)]
    pub fleet_key_file: Option<path::PathBuf>,
    /// Processes to ask for the configuration, besides the platform.
    #[serde(default)]
    pub peers: Vec<net::SocketAddr>,
    /// File with the operators' text, for a process without a platform.
    #[serde(default)]
    pub text: Option<path::PathBuf>,
    /// Logs.
    #[serde(default)]
    pub log: logs::Settings,
    /// Metrics.
    #[serde(default)]
    pub metrics: metrics::Settings,
    /// What only an entry has.
    #[serde(default)]
    pub entry: Option<EntrySettings>,
    /// What only a sidecar has.
    #[serde(default)]
    pub sidecar: Option<SidecarSettings>,
}

/// Settings that only an entry has.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// Where it listens for callers.
    pub listen: net::SocketAddr,
    /// Where it listens for other processes of the fleet.
    #[serde(default)]
    pub peer: Option<net::SocketAddr>,
}

/// Settings that only a sidecar has.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SidecarSettings {
    /// The runner that it looks after.
    pub runner: RunnerName,
    /// Where it listens for entries.
    pub listen: net::SocketAddr,
    /// Where it listens for other processes that ask for documents.
    #[serde(default)]
    pub peer: Option<net::SocketAddr>,
    /// Where its backend server listens.
    pub backend: net::SocketAddr,
    /// What its backend server speaks.
    #[serde(default)]
    pub kind: BackendKind,
}

/// What a backend server speaks.
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
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum BackendKind {
    /// The engines' interface.
    #[default]
    Engine,
    /// Ordinary HTTP.
    Plain,
}

fn default_admin() -> net::SocketAddr {
    net::SocketAddr::from(([127, 0, 0, 1], 0))
}

impl ProcessSettings {
    /// The fleet's secret.
    ///
    /// # Errors
    /// [`SettingsError`] when none or two are set, or it is too short.
    pub fn fleet_key(&self) -> Result<Secret, SettingsError> {
        let key = match (&self.fleet_key, &self.fleet_key_file) {
            (Some(key), None) => key.clone(),
            (None, Some(path)) => Secret::new(read(path)?.trim()),
            _ => return Err(SettingsError::NoFleetKey),
        };
        match key.expose().len() {
            bytes if bytes < MIN_KEY_BYTES => Err(SettingsError::ShortFleetKey(bytes)),
            _ => Ok(key),
        }
    }

    /// What only an entry has.
    ///
    /// # Errors
    /// [`SettingsError::MissingTable`] when it is missing.
    pub fn entry(&self) -> Result<&EntrySettings, SettingsError> {
        self.entry
            .as_ref()
            .ok_or(SettingsError::MissingTable("entry"))
    }

    /// What only a sidecar has.
    ///
    /// # Errors
    /// [`SettingsError::MissingTable`] when it is missing.
    pub fn sidecar(&self) -> Result<&SidecarSettings, SettingsError> {
        self.sidecar
            .as_ref()
            .ok_or(SettingsError::MissingTable("sidecar"))
    }
}

/// Gathers settings. What is added later goes before what was added earlier.
#[derive(Clone, Debug, Default)]
pub struct Loader {
    figment: figment::Figment,
}

impl Loader {
    /// A loader without any settings.
    pub fn new() -> Self {
        Self::default()
    }

    /// The loader of a process: its file, its environment and its `--set` flags.
    ///
    /// # Errors
    /// [`SettingsError`] when the file cannot be read or a flag is malformed.
    pub fn of_process(file: Option<&path::Path>, flags: &[String]) -> Result<Self, SettingsError> {
        let mut loader = Self::new();
        if let Some(path) = file {
            loader = loader.text(&read(path)?);
        }
        loader = loader.environment(std::env::vars());
        for flag in flags {
            loader = loader.set(flag)?;
        }
        Ok(loader)
    }

    /// Adds a TOML text.
    #[must_use]
    pub fn text(self, text: &str) -> Self {
        Self {
            figment: self.figment.merge(providers::Toml::string(text)),
        }
    }

    /// Adds the variables that begin with `LENTIL_`.
    #[must_use]
    pub fn environment(mut self, variables: impl IntoIterator<Item = (String, String)>) -> Self {
        for (name, value) in variables {
            if let Some(key) = name.strip_prefix(ENV_PREFIX) {
                self = self.value(&key.to_ascii_lowercase().replace("__", "."), &value);
            }
        }
        self
    }

    /// Adds a flag of the form `key=value`.
    ///
    /// # Errors
    /// [`SettingsError::Flag`] when it has no `=`.
    pub fn set(self, flag: &str) -> Result<Self, SettingsError> {
        match flag.split_once('=') {
            Some((key, value)) => Ok(self.value(key.trim(), value.trim())),
            None => Err(SettingsError::Flag(flag.to_owned())),
        }
    }

    /// Checks what was gathered.
    ///
    /// # Errors
    /// [`SettingsError`] when a key is unknown or missing, a value has another
    /// type, or there is no usable fleet key.
    pub fn load(self) -> Result<ProcessSettings, SettingsError> {
        let settings: ProcessSettings = self.figment.extract()?;
        settings.fleet_key()?;
        Ok(settings)
    }

    fn value(self, key: &str, text: &str) -> Self {
        let value = match text.parse::<figment::value::Value>() {
            Ok(value) => value,
            Err(never) => match never {},
        };
        Self {
            figment: self
                .figment
                .merge(providers::Serialized::default(key, value)),
        }
    }
}

fn read(path: &path::Path) -> Result<String, SettingsError> {
    let error = |source| SettingsError::File {
        path: path.to_owned(),
        source,
    };
    std::fs::read_to_string(path).map_err(error)
}
