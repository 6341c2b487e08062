//! Real binaries as processes of their own.

use std::{
    io::{BufRead as _, BufReader},
    net, path, process,
    sync::{OnceLock, mpsc},
    thread,
};

use lentil_sidecar::BackendKind;
use rustix::process::{Pid, Signal, kill_process};

use crate::{FLEET_KEY, wait};

/// A real binary as a process of its own. It is killed when dropped.
pub struct Process {
    child: process::Child,
    lines: mpsc::Receiver<String>,
    /// Where it serves.
    pub address: net::SocketAddr,
    /// Where its admin server listens.
    pub admin: net::SocketAddr,
}

impl Process {
    /// Starts a binary with settings of the form `key=value` and waits until it
    /// serves.
    ///
    /// # Panics
    /// When it does not start.
    pub async fn start(binary: &str, settings: &[String]) -> Self {
        let mut command = process::Command::new(binaries().join(binary));
        for setting in settings {
            command.args(["--set", setting]);
        }
        let child = command
            .stderr(process::Stdio::piped())
            .stdout(process::Stdio::null())
            .spawn();
        let mut child = child.expect("the binary starts");
        let lines = follow(child.stderr.take().expect("standard error is piped"));
        let mut process = Self {
            child,
            lines,
            address: net::SocketAddr::from(([127, 0, 0, 1], 0)),
            admin: net::SocketAddr::from(([127, 0, 0, 1], 0)),
        };
        let line = process.line_with("serving").await;
        process.address = value_of(&line, "address");
        process.admin = value_of(&line, "admin");
        process
    }

    /// Starts a sidecar beside a backend server.
    ///
    /// # Panics
    /// When it does not start.
    pub async fn sidecar(backend: net::SocketAddr, kind: BackendKind) -> Self {
        let mut settings = common("sidecar");
        settings.extend([
            "sidecar.runner=runner".to_owned(),
            "sidecar.listen=127.0.0.1:0".to_owned(),
            format!("sidecar.backend={backend}"),
            format!("sidecar.kind={kind}"),
        ]);
        Self::start("lentil-sidecar", &settings).await
    }

    /// Starts an entry that reads the operators' text from a file.
    ///
    /// # Panics
    /// When it does not start.
    pub async fn entry(text: &path::Path) -> Self {
        let mut settings = common("entry");
        settings.extend([
            "entry.listen=127.0.0.1:0".to_owned(),
            format!("text={}", text.display()),
        ]);
        Self::start("lentil-entry", &settings).await
    }

    /// HTTP status of a path of the admin server; 0 when it does not answer.
    pub async fn admin_status(&self, path: &str) -> u16 {
        let client = trillium_client::Client::new(trillium_smol::ClientConfig::new());
        let url = format!("http://{}{path}", self.admin);
        match client.get(url.as_str()).await {
            Ok(conn) => conn.status().map_or(0, |status| status as u16),
            Err(_) => 0,
        }
    }

    /// Every log line that was not read yet, after the process has ended.
    pub fn rest_of_log(&self) -> Vec<String> {
        self.lines.iter().collect()
    }

    /// Waits for a log line that has `part` in it.
    ///
    /// # Panics
    /// When none comes.
    pub async fn line_with(&self, part: &str) -> String {
        let mut seen = Vec::new();
        let found = |lines: &[String]| lines.iter().any(|line| line.contains(part));
        wait::until(part, || {
            let open = loop {
                match self.lines.try_recv() {
                    Ok(line) => seen.push(line),
                    Err(error) => break error == mpsc::TryRecvError::Empty,
                }
            };
            assert!(open || found(&seen), "the process ended: {seen:#?}");
            found(&seen)
        })
        .await;
        let line = seen.into_iter().find(|line| line.contains(part));
        line.unwrap_or_default()
    }

    /// Sends SIGTERM.
    ///
    /// # Panics
    /// When the process has ended.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Kills the process without warning.
    ///
    /// # Panics
    /// When the process has ended.
    pub fn kill(&self) {
        self.signal(Signal::KILL);
    }

    /// Stops the process in its tracks; its connections stay open.
    ///
    /// # Panics
    /// When the process has ended.
    pub fn pause(&self) {
        self.signal(Signal::STOP);
    }

    /// Waits until the process ends and returns its exit code.
    ///
    /// # Panics
    /// When it does not end.
    pub async fn ended(&mut self) -> Option<i32> {
        let mut status = None;
        wait::until("the process ends", || {
            status = self.child.try_wait().expect("the process is ours");
            status.is_some()
        })
        .await;
        status.and_then(|status| status.code())
    }

    fn signal(&self, signal: Signal) {
        let pid = Pid::from_child(&self.child);
        kill_process(pid, signal).expect("the process runs");
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // It fails only when the process has ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Settings of every process.
fn common(node: &str) -> Vec<String> {
    vec![
        format!("node={node}"),
        "place=hall".to_owned(),
        format!("fleet_key={FLEET_KEY}"),
    ]
}

/// Reads lines until the process closes its standard error.
fn follow(stderr: process::ChildStderr) -> mpsc::Receiver<String> {
    let (sender, receiver) = mpsc::channel();
    thread::spawn(move || {
        for line in BufReader::new(stderr).lines().map_while(Result::ok) {
            if sender.send(line).is_err() {
                return;
            }
        }
    });
    receiver
}

/// Value of `key=value` in a log line.
fn value_of(line: &str, key: &str) -> net::SocketAddr {
    let (_, rest) = line
        .split_once(&format!("{key}="))
        .unwrap_or_else(|| panic!("no {key} in {line:?}"));
    let value = rest.split([' ', ',']).next().unwrap_or_default();
    value.parse().expect("the value is an address")
}

/// Builds the binaries once and returns their folder.
///
/// # Panics
/// When they do not build.
pub fn binaries() -> &'static path::Path {
    static FOLDER: OnceLock<path::PathBuf> = OnceLock::new();
    FOLDER.get_or_init(|| {
        let built = process::Command::new(env!("CARGO"))
            .args(["build", "--quiet", "--locked", "--workspace", "--bins"])
            .current_dir(env!("CARGO_MANIFEST_DIR"))
            .status();
        assert!(
            built.is_ok_and(|status| status.success()),
            "the binaries do not build"
        );
        let test = std::env::current_exe().expect("the test has a path");
        let folder = test.parent().and_then(path::Path::parent);
        folder
            .expect("the test is in target/PROFILE/deps")
            .to_owned()
    })
}
