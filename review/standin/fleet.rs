//! The project's programs as child processes, and the addresses of their machines.

use std::{
    fs,
    io::Write,
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::Mutex,
    time::{Duration, Instant},
};

/// Bounds of the small deployment on the users' pages.
const BOUNDS: &str = "\
bounds.seed_lag_s=3\nbounds.reuse_after_s=2\nbounds.stable_ms=3000\nbounds.ack_ms=4000\n\
bounds.sync_s=4\nbounds.drain_ms=2000\nbounds.grace_s=8\nbounds.loss_slack_ms=200\n\
bounds.config_ms=2000\nbounds.downgrade_ms=250\nbounds.skew_max_ms=5000\n\
bounds.strict_revoke=false\nbounds.revoke_ms=5000\nbounds.budget_ratio=0.2\n\
bounds.budget_window_s=10\nbounds.retry_extra=56\nbounds.recovery_s=12\n\
bounds.transit_ms=120\nbounds.retry_after_s=10\nbounds.require_fence=true\n\
bounds.lease_ms=3000\nbounds.thaw_ms=300\nbounds.version_ms=8000\n\
bounds.version_fleet_ms=11000\n";

/// Port of every process's metrics.
const METRICS_PORT: u16 = 9_464;
const DATAGRAM_PORT: u16 = 7_340;

/// Hands out loopback addresses of which nothing uses the fixed ports.
pub struct Addresses {
    net: (u8, u8),
    next: u8,
}

impl Addresses {
    pub fn new() -> Self {
        let process = std::process::id();
        Self {
            net: (10 + (process / 250 % 200) as u8, (process % 250) as u8),
            next: 1,
        }
    }

    pub fn take(&mut self) -> IpAddr {
        loop {
            let ip = IpAddr::V4(Ipv4Addr::new(127, self.net.0, self.net.1, self.next));
            self.next += 1;
            if TcpListener::bind((ip, METRICS_PORT)).is_ok() {
                return ip;
            }
        }
    }
}

/// The command of a role in the deploy file, such as `target/release/lentil-site front`.
fn command(role: &str) -> Vec<String> {
    let text = fs::read_to_string("deploy/system.toml").expect("the deploy file");
    let section = text.split(&format!("[roles.{role}]")).nth(1);
    let section = section.expect("the role is in the deploy file");
    let run = section.split("run = \"").nth(1).expect("a command");
    let run = run.split('"').next().unwrap_or_default();
    run.split(' ').map(str::to_owned).collect()
}

/// Processes that have been started and not ended.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

fn signal(name: &str, id: u32) {
    let command = format!("kill -{name} {id}");
    let status = Command::new("sh").args(["-c", &command]).status();
    status.expect("a shell");
}

/// Kills what still runs, for a case that takes too long.
pub fn kill_all() {
    if let Ok(mut running) = RUNNING.lock() {
        running.drain(..).for_each(|id| signal("KILL", id));
    }
}

/// A process of the project; killed on drop.
pub struct Process {
    role: &'static str,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    pub started: Instant,
}

impl Process {
    fn start(folder: &Path, role: &'static str, ip: IpAddr, settings: &str) -> Self {
        let path = folder.join(format!("{role}-{ip}.conf"));
        fs::write(&path, settings).expect("the folder can be written");
        let mut process = Self {
            role,
            settings: path,
            log: folder.join(format!("{role}-{ip}.log")),
            child: None,
            started: Instant::now(),
        };
        process.restart();
        process
    }

    /// Starts the program again after its end.
    pub fn restart(&mut self) {
        let log = fs::File::options().create(true).append(true).open(&self.log);
        let log = log.expect("the folder can be written");
        let command = command(self.role);
        let child = Command::new(&command[0])
            .args(&command[1..])
            .env("LENTILGLADE_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone().expect("a copy"))
            .stdout(log)
            .spawn();
        let child = child.expect("the program has been built");
        RUNNING.lock().expect("no panic").push(child.id());
        // For the script, in case it is ended.
        let ids = self.settings.with_file_name("ids");
        let ids = fs::File::options().create(true).append(true).open(ids);
        writeln!(ids.expect("the folder can be written"), "{}", child.id()).expect("written");
        self.child = Some(child);
        self.started = Instant::now();
    }

    pub fn terminate(&self) {
        if let Some(child) = &self.child {
            signal("TERM", child.id());
        }
    }

    /// Waits for the end of a process that was told to stop; kills it after `limit`.
    pub fn wait_end(&mut self, limit: Duration) {
        let until = Instant::now() + limit;
        if let Some(child) = &mut self.child {
            while Instant::now() < until {
                if child.try_wait().is_ok_and(|end| end.is_some()) {
                    break;
                }
                std::thread::sleep(Duration::from_millis(20));
            }
        }
        self.kill();
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            child.kill().ok();
            let id = child.id();
            RUNNING.lock().expect("no panic").retain(|other| *other != id);
            child.wait().ok();
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Addresses of a router.
#[derive(Clone, Copy, Debug)]
pub struct RouterAddresses {
    pub ip: IpAddr,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub control: SocketAddr,
}

impl RouterAddresses {
    pub fn new(ip: IpAddr) -> Self {
        let address = |port| SocketAddr::new(ip, port);
        Self {
            ip,
            front: address(8_782),
            ready: address(8_789),
            control: address(8_783),
        }
    }
}

fn common(node: &str, class: &str, ip: IpAddr, store: SocketAddr) -> String {
    format!(
        "node={node}\nrole={class}\nmachine_class={class}\nip={ip}\nzone=zone-a\nregion=region\n\
         zones.zone-a=region\nport_range={DATAGRAM_PORT},7355\nbootstrap=true\nloss_counts=false\n\
         limits.cpu_share=0.19\nlimits.cores=1\nlimits.memory_mb=192\nlimits.max_fds=4100\n\
         limits.link_mbps=1000.0\nlimits.disk_mb=0\ndiscovery=platform\nentry=virtual_ip\n\
         heartbeat_ms=1200\n\
         contracts=base,drain,config,cost,retry,recover,kvcache,stream,engine,tenants,platform\n\
         {BOUNDS}platform.address={store}\nplatform.form=objects\nplatform.writes_per_s=400\n\
         platform.reads_per_s=2000\nplatform.history_s=20\nplatform.value_bytes=1048576\n"
    )
}

pub fn start_router(
    folder: &Path,
    at: RouterAddresses,
    store: SocketAddr,
    seeds: &[RouterAddresses],
) -> Process {
    let seeds = seeds.iter().take(3).map(|seed| seed.control.to_string());
    let seeds = seeds.collect::<Vec<_>>().join(",");
    let RouterAddresses {
        ip,
        front,
        ready,
        control,
    } = at;
    let settings = common(&format!("front-{ip}"), "front", ip, store)
        + &format!(
            "serves=front,control\nlisten.front={front}\nlisten.ready={ready}\n\
             listen.control={control}\nseeds={seeds}\n"
        );
    Process::start(folder, "router", ip, &settings)
}

pub fn start_agent(
    folder: &Path,
    runner: SocketAddr,
    service: &str,
    store: SocketAddr,
    seeds: &[RouterAddresses],
) -> Process {
    let seeds = seeds.iter().take(3).map(|seed| seed.control.to_string());
    let seeds = seeds.collect::<Vec<_>>().join(",");
    let ip = runner.ip();
    let settings = common(&format!("side-{ip}"), "side", ip, store)
        + &format!("serves=side\napp={runner}\nservice={service}\nseeds={seeds}\n");
    Process::start(folder, "agent", ip, &settings)
}
