//! Real binaries in processes of their own.

use std::{
    io::{BufRead as _, BufReader},
    net, path, process,
    sync::{OnceLock, mpsc},
    thread, time,
};

use lentil_sidecar::BackendKind;
use rustix::process::{Pid, Signal, kill_process};

use crate::{FLEET_KEY, wait};

/// A running binary. Dropping it kills the process.
pub struct Process {
    child: process::Child,
    lines: mpsc::Receiver<String>,
    /// The address it serves on.
    pub address: net::SocketAddr,
    /// The address of its admin server.
    pub admin: net::SocketAddr,
}

impl Process {
    /// Starts a binary with settings of the form `key=value` and waits for its
    /// "serving" log line.
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
        let lines = read_lines(child.stderr.take().expect("standard error is piped"));
        let mut process = Self {
            child,
            lines,
            address: net::SocketAddr::from(([127, 0, 0, 1], 0)),
            admin: net::SocketAddr::from(([127, 0, 0, 1], 0)),
        };
        let line = process.line_with("serving").await;
        process.address = logged_address(&line, "address");
        process.admin = logged_address(&line, "admin");
        process
    }

    /// Starts a sidecar for a backend server.
    ///
    /// # Panics
    /// When it does not start.
    pub async fn sidecar(backend: net::SocketAddr, kind: BackendKind) -> Self {
        let mut settings = common_settings("sidecar");
        settings.extend([
            "sidecar.runner=runner".to_owned(),
            "sidecar.listen=127.0.0.1:0".to_owned(),
            format!("sidecar.backend={backend}"),
            format!("sidecar.kind={kind}"),
        ]);
        Self::start("lentil-sidecar", &settings).await
    }

    /// Starts an entry that reads its configuration from a file.
    ///
    /// # Panics
    /// When it does not start.
    pub async fn entry(config: &path::Path) -> Self {
        let mut settings = common_settings("entry");
        settings.extend([
            "entry.listen=127.0.0.1:0".to_owned(),
            format!("text={}", config.display()),
        ]);
        Self::start("lentil-entry", &settings).await
    }

    /// HTTP status of a path of the admin server; 0 when there is no answer.
    pub async fn admin_status(&self, path: &str) -> u16 {
        let client = trillium_client::Client::new(trillium_smol::ClientConfig::new());
        let url = format!("http://{}{path}", self.admin);
        match client.get(url.as_str()).await {
            Ok(conn) => conn.status().map_or(0, |status| status as u16),
            Err(_) => 0,
        }
    }

    /// Every unread log line. Blocks until the process has closed its standard
    /// error.
    pub fn rest_of_log(&self) -> Vec<String> {
        self.lines.iter().collect()
    }

    /// Waits for a log line that contains `part`.
    ///
    /// # Panics
    /// When the process ends or the wait times out.
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

    /// Most memory that the process has had resident so far, in bytes.
    ///
    /// # Panics
    /// When the system does not tell.
    pub fn peak_memory(&self) -> usize {
        let path = format!("/proc/{}/status", self.child.id());
        let status = std::fs::read_to_string(path).expect("the process runs");
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kilobytes = line.and_then(|line| line.trim().strip_suffix(" kB"));
        let kilobytes = kilobytes.and_then(|text| text.trim().parse::<usize>().ok());
        kilobytes.expect("the system tells the peak") * 1_024
    }

    /// Processor time that the process has used so far.
    ///
    /// # Panics
    /// When the system does not tell.
    pub fn processor_time(&self) -> time::Duration {
        let folder = format!("/proc/{}/task", self.child.id());
        let threads = std::fs::read_dir(folder).expect("the process runs");
        let of_thread = |thread: std::io::Result<std::fs::DirEntry>| {
            // A thread that has just ended has no file.
            let schedule = std::fs::read_to_string(thread.ok()?.path().join("schedstat")).ok()?;
            schedule.split(' ').next()?.parse::<u64>().ok()
        };
        time::Duration::from_nanos(threads.filter_map(of_thread).sum())
    }

    /// Sends SIGTERM.
    ///
    /// # Panics
    /// When the process has ended.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Sends SIGKILL.
    ///
    /// # Panics
    /// When the process has ended.
    pub fn kill(&self) {
        self.signal(Signal::KILL);
    }

    /// Sends SIGSTOP; the connections stay open.
    ///
    /// # Panics
    /// When the process has ended.
    pub fn pause(&self) {
        self.signal(Signal::STOP);
    }

    /// Waits until the process ends and returns its exit code; `None` when a signal
    /// ended it.
    ///
    /// # Panics
    /// When it does not end in time.
    pub async fn exit_code(&mut self) -> Option<i32> {
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
        // Fails only if the process has ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Settings that every process gets.
fn common_settings(node: &str) -> Vec<String> {
    vec![
        format!("node={node}"),
        "place=hall".to_owned(),
        format!("fleet_key={FLEET_KEY}"),
    ]
}

/// Reads lines in a thread until the process closes its standard error.
fn read_lines(stderr: process::ChildStderr) -> mpsc::Receiver<String> {
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

/// The address in `key=address` in a log line.
fn logged_address(line: &str, key: &str) -> net::SocketAddr {
    let (_, rest) = line
        .split_once(&format!("{key}="))
        .unwrap_or_else(|| panic!("no {key} in {line:?}"));
    let value = rest.split([' ', ',']).next().unwrap_or_default();
    value.parse().expect("the value is an address")
}

/// Builds the binaries once per test process and returns their folder.
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
