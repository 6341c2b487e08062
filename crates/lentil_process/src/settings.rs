//! Settings of a process: a TOML file, overridden by environment variables, and
//! both by flags.
//!
//! Key `entry.listen` of the file is variable `LENTIL_ENTRY__LISTEN` and flag
//! `--set entry.listen=...`.
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

/// Prefix of the environment variables for settings.
const ENV_PREFIX: &str = "LENTIL_";
/// Minimum length of the fleet key, in bytes.
const MIN_KEY_BYTES: usize = 16;

/// Why settings cannot be used.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum SettingsError {
    /// A file could not be read.
    #[error("cannot read {}: {source}", path.display())]
    File {
        /// The file.
        path: path::PathBuf,
        /// The I/O error.
        source: io::Error,
    },
    /// A key is unknown or missing, or a value has the wrong type.
    #[error("{0}")]
    Value(Box<figment::Error>),
    /// A `--set` flag is not of the form `key=value`.
    #[error("--set {0:?} is not of the form key=value")]
    Flag(String),
    /// A table that this process needs is missing.
    #[error("the settings have no [{0}] table, which this process needs")]
    MissingTable(&'static str),
    /// `platform` is set, but `region` is not.
    #[error("platform is set without a region; set region too")]
    NoRegion,
    /// Neither `fleet_key` nor `fleet_key_file` is set, or both are.
    #[error("set exactly one of fleet_key and fleet_key_file")]
    NoFleetKey,
    /// The fleet key is too short; holds its length in bytes.
    #[error("the fleet key has {0} bytes; it needs at least {MIN_KEY_BYTES}")]
    ShortFleetKey(usize),
    /// A name has invalid characters or length.
    #[error(transparent)]
    Name(#[from] NameError),
}

impl From<figment::Error> for SettingsError {
    fn from(error: figment::Error) -> Self {
        Self::Value(Box::new(error))
    }
}

/// Checked settings of a process.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProcessSettings {
    /// Process name, unique in the fleet.
    pub node: NodeName,
    /// Data centre of the process.
    pub place: PlaceName,
    /// Region whose documents it reads from the platform.
    #[serde(default)]
    pub region: Option<RegionName>,
    /// Admin address; by default a free port on loopback.
    #[serde(default = "default_admin")]
    pub admin: net::SocketAddr,
    /// Key of the admin server; `None` leaves it open.
    #[serde(default)]
    pub admin_key: Option<Secret>,
    /// Address of the platform's object API and instance list.
    #[serde(default)]
    pub platform: Option<net::SocketAddr>,
    /// Secret that the fleet shares, at least 16 bytes.
    #[serde(default)]
    pub fleet_key: Option<Secret>,
    /// File that holds the fleet key, instead of `fleet_key`.
    #[serde(default)]
    pub fleet_key_file: Option<path::PathBuf>,
    /// Processes to ask for the configuration, besides the platform.
    #[serde(default)]
    pub peers: Vec<net::SocketAddr>,
    /// File with the configuration text, for a process without a platform.
    #[serde(default)]
    pub text: Option<path::PathBuf>,
    /// Format, level and output of the logs.
    #[serde(default)]
    pub log: logs::Settings,
    /// Destination and prefix of the metrics.
    #[serde(default)]
    pub metrics: metrics::Settings,
    /// Settings of an entry; `None` in other processes.
    #[serde(default)]
    pub entry: Option<EntrySettings>,
    /// Settings of a sidecar; `None` in other processes.
    #[serde(default)]
    pub sidecar: Option<SidecarSettings>,
}

/// Settings of an entry.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// Listen address for callers.
    pub listen: net::SocketAddr,
    /// Address on which it serves documents to the fleet.
    #[serde(default)]
    pub peer: Option<net::SocketAddr>,
}

/// Settings of a sidecar.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SidecarSettings {
    /// Runner that it serves.
    pub runner: RunnerName,
    /// Listen address for entries.
    pub listen: net::SocketAddr,
    /// Address on which it serves documents to the fleet.
    #[serde(default)]
    pub peer: Option<net::SocketAddr>,
    /// Address of its backend server.
    pub backend: net::SocketAddr,
    /// Protocol of its backend server.
    #[serde(default)]
    pub kind: BackendKind,
}

/// Protocol of a backend server.
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
    /// Protocol of inference engines.
    #[default]
    Engine,
    /// Ordinary HTTP.
    Plain,
}

fn default_admin() -> net::SocketAddr {
    net::SocketAddr::from(([127, 0, 0, 1], 0))
}

impl ProcessSettings {
    /// Fleet key from `fleet_key` or the file.
    ///
    /// # Errors
    /// [`SettingsError`] when neither or both are set, the file is unreadable, or
    /// the key is too short.
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

    /// Settings of an entry.
    ///
    /// # Errors
    /// [`SettingsError::MissingTable`] when there are none.
    pub fn entry(&self) -> Result<&EntrySettings, SettingsError> {
        self.entry
            .as_ref()
            .ok_or(SettingsError::MissingTable("entry"))
    }

    /// Settings of a sidecar.
    ///
    /// # Errors
    /// [`SettingsError::MissingTable`] when there are none.
    pub fn sidecar(&self) -> Result<&SidecarSettings, SettingsError> {
        self.sidecar
            .as_ref()
            .ok_or(SettingsError::MissingTable("sidecar"))
    }
}

/// Merges settings; later ones override earlier ones.
#[derive(Clone, Debug, Default)]
pub struct Loader {
    figment: figment::Figment,
}

impl Loader {
    /// A loader without settings.
    pub fn new() -> Self {
        Self::default()
    }

    /// Merges a process's file, environment and `--set` flags.
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

    /// Adds settings in TOML.
    #[must_use]
    pub fn text(self, text: &str) -> Self {
        Self {
            figment: self.figment.merge(providers::Toml::string(text)),
        }
    }

    /// Adds the variables that begin with `LENTIL_`; `__` separates tables.
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

    /// Merges and checks the settings.
    ///
    /// # Errors
    /// [`SettingsError`] when a key is unknown or missing, a value has the wrong
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
