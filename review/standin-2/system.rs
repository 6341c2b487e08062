//! The project's own programs, as processes with the commands of the deploy file.

use std::fs;
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::io::{BufReader, Write};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::net::read_message;

const PROGRAM: &str = "target/release/lentil-site";
const CALLER_PORT: u16 = 8782;
const CONTROL_PORT: u16 = 8783;
const READY_PORT: u16 = 8789;
/// Longest wait until a router is ready.
const START_LIMIT: Duration = Duration::from_secs(10);

/// The folder for settings and logs. The script that starts the case makes and removes it.
pub struct Folder(PathBuf);

impl Folder {
    pub fn open() -> Self {
        let path = std::env::var_os("REVIEW_SCRATCH").expect("review/run-case-2.sh starts the cases");
        Self(path.into())
    }

    /// Notes a process that was started, so that the script can end it if this one is killed.
    fn note(&self, id: u32) {
        let file = fs::OpenOptions::new().create(true).append(true).open(self.0.join("ids"));
        let written = file.and_then(|mut file| writeln!(file, "{id}"));
        written.expect("the ids of processes can be written");
    }
}

/// A running process, killed on drop.
pub struct Process(Child);

impl Process {
    fn start(folder: &Folder, role: &str, ip: Ipv4Addr, settings: &str) -> Self {
        let path = folder.0.join(format!("{role}-{ip}.conf"));
        fs::write(&path, settings).expect("settings can be written");
        let log = fs::File::create(folder.0.join(format!("{role}-{ip}.log")));
        let log = log.expect("a log can be written");
        let program = Path::new(PROGRAM);
        let child = Command::new(program)
            .arg(role)
            .env_clear()
            .env("LENTILGLADE_CONFIG", path)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::null())
            .spawn();
        let child = child.expect("target/release/lentil-site can be started");
        folder.note(child.id());
        Self(child)
    }

    /// Starts a router.
    pub fn front(folder: &Folder, ip: Ipv4Addr, store: SocketAddr, fronts: &[Ipv4Addr]) -> Self {
        let seeds: Vec<_> = fronts.iter().map(|ip| format!("{ip}:{CONTROL_PORT}")).collect();
        let settings = format!(
            "node=front-{ip}\nrole=router\nmachine_class=front\nserves=front,control\n\
             listen.front={ip}:{CALLER_PORT}\nlisten.ready={ip}:{READY_PORT}\n\
             listen.control={ip}:{CONTROL_PORT}\nseeds={}\nlimits.memory_mb=110\n{}",
            seeds.join(","),
            common_settings(ip, store)
        );
        Self::start(folder, "front", ip, &settings)
    }

    /// Starts the agent beside the model runner at `runner`.
    pub fn side(folder: &Folder, runner: SocketAddr, store: SocketAddr, service: &str) -> Self {
        let std::net::IpAddr::V4(ip) = runner.ip() else {
            panic!("runners have IPv4 addresses");
        };
        let settings = format!(
            "node=side-{ip}\nrole=agent\nmachine_class=side\nserves=side\napp={runner}\n\
             service={service}\nlimits.memory_mb=192\n{}",
            common_settings(ip, store)
        );
        Self::start(folder, "side", ip, &settings)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// The fields and bounds that `fleetbench wire` shows for the first deployments.
fn common_settings(ip: Ipv4Addr, store: SocketAddr) -> String {
    format!(
        "ip={ip}\nzone=here\nregion=there\nzones.here=there\nport_range=7340,7355\nbootstrap=true\n\
         limits.cpu_share=0.2\nlimits.cores=1\nlimits.max_fds=4100\ndiscovery=platform\n\
         entry=virtual_ip\nheartbeat_ms=1200\n\
         contracts=base,drain,config,cost,retry,recover,kvcache,stream,engine,tenants,platform\n\
         bounds.seed_lag_s=3\nbounds.reuse_after_s=2\nbounds.stable_ms=3000\nbounds.ack_ms=4000\n\
         bounds.sync_s=4\nbounds.drain_ms=2000\nbounds.grace_s=8\nbounds.loss_slack_ms=200\n\
         bounds.config_ms=2000\nbounds.downgrade_ms=250\nbounds.skew_max_ms=5000\n\
         bounds.budget_ratio=0.2\nbounds.budget_window_s=10\nbounds.retry_extra=56\n\
         bounds.recovery_s=12\nbounds.require_fence=true\nbounds.lease_ms=3000\n\
         bounds.version_ms=8000\nbounds.version_fleet_ms=11000\nplatform.address={store}\n\
         platform.form=objects\nplatform.writes_per_s=400\nplatform.reads_per_s=2000\n\
         platform.history_s=20\nplatform.value_bytes=1048576\n"
    )
}

/// Address at which a router takes callers' requests.
pub fn caller_address(front: Ipv4Addr) -> SocketAddr {
    SocketAddr::new(front.into(), CALLER_PORT)
}

/// Whether a router answers 200 to the platform's readiness check.
pub fn is_ready(front: Ipv4Addr) -> bool {
    let check = || {
        let limit = Duration::from_secs(1);
        let address = SocketAddr::new(front.into(), READY_PORT);
        let mut stream = TcpStream::connect_timeout(&address, limit).ok()?;
        stream.set_read_timeout(Some(limit)).ok()?;
        stream.write_all(b"GET /api/readyz HTTP/1.1\r\nHost: ready\r\n\r\n").ok()?;
        read_message(&mut BufReader::new(stream))
    };
    check().is_some_and(|answer| answer.word(1) == "200")
}

pub fn wait_until_ready(fronts: &[Ipv4Addr]) {
    let begun = Instant::now();
    while !fronts.iter().all(|front| is_ready(*front)) {
        assert!(begun.elapsed() < START_LIMIT, "the routers are not ready");
        thread::sleep(Duration::from_millis(20));
    }
}
