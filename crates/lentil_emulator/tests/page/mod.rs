//! Runs the commands of a documentation page.
//!
//! A code block "```LANGUAGE NAME" is written to a file of that name. In a block
//! "```console" each line that begins with `$ ` is run, in the background if it
//! ends in ` &`. Its output must contain the lines below it. Loopback ports of the
//! page are replaced by free ones.

use std::{collections::BTreeMap, env, fs, net, path, process, sync::atomic, thread, time};

/// How long a command is retried while the processes it needs start.
const RETRY_TIMEOUT: time::Duration = time::Duration::from_secs(120);
/// Time between two attempts.
const RETRY_PERIOD: time::Duration = time::Duration::from_millis(100);
/// Ports below the systems' ephemeral range.
const PORTS: std::ops::Range<u16> = 18_000..30_000;
/// Exit code of lentilctl when it cannot reach the process.
const EXIT_UNREACHABLE: i32 = 3;
/// Exit code of lentilctl for a negative answer, such as that a process is not
/// ready yet.
const EXIT_NEGATIVE: i32 = 1;

/// A background process. Dropping it kills the process.
struct Background(process::Child);

impl Drop for Background {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// A step of a documentation page.
enum Step {
    File {
        name: String,
        text: String,
    },
    Command {
        words: Vec<String>,
        background: bool,
        expected: Vec<String>,
    },
}

/// Runs every step of a page in a temporary folder, which is removed afterwards.
pub fn run(page: &str, name: &str) {
    let folder = env::temp_dir().join(format!("lentilglade-{name}-{}", process::id()));
    fs::create_dir_all(&folder).expect("a folder for the page's files");
    let mut background = Vec::new();
    for step in steps(&with_free_ports(page)) {
        match step {
            Step::File { name, text } => {
                fs::write(folder.join(name), text).expect("the file is written");
            }
            Step::Command {
                words,
                background: true,
                ..
            } => {
                background.push(spawn(&folder, &words));
            }
            Step::Command {
                words, expected, ..
            } => run_until_success(&folder, &words, &expected),
        }
    }
    drop(background);
    fs::remove_dir_all(&folder).expect("the folder is removed");
}

// ---------------------------------------------------------------------------
// Parsing the page

fn steps(page: &str) -> Vec<Step> {
    let mut steps = Vec::new();
    let mut block: Option<(String, Vec<String>)> = None;
    for line in page.lines() {
        match (&mut block, line.strip_prefix("```")) {
            (None, Some(info)) => block = Some((info.to_owned(), Vec::new())),
            (Some(_), Some(_)) => {
                let (info, lines) = block.take().unwrap_or_default();
                steps.extend(block_steps(&info, &lines));
            }
            (Some((_, lines)), None) => lines.push(line.to_owned()),
            (None, None) => {}
        }
    }
    steps
}

fn block_steps(info: &str, lines: &[String]) -> Vec<Step> {
    if let Some((_, name)) = info.split_once(' ') {
        return vec![Step::File {
            name: name.to_owned(),
            text: lines.join("\n"),
        }];
    }
    if info != "console" {
        return Vec::new();
    }
    let mut steps: Vec<Step> = Vec::new();
    for line in lines {
        match (line.strip_prefix("$ "), steps.last_mut()) {
            (Some(command), _) => steps.push(command_step(command)),
            (None, Some(Step::Command { expected, .. })) => expected.push(line.clone()),
            (None, _) => panic!("output without a command: {line}"),
        }
    }
    steps
}

fn command_step(line: &str) -> Step {
    let line = line.replace("$(date +%s)", &unix_seconds().to_string());
    let (line, background) = match line.strip_suffix(" &") {
        Some(line) => (line, true),
        None => (line.as_str(), false),
    };
    let words = shlex::split(line).unwrap_or_else(|| panic!("a quote is open: {line}"));
    Step::Command {
        words,
        background,
        expected: Vec::new(),
    }
}

fn unix_seconds() -> u64 {
    let since = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
    since.expect("the clock is past 1970").as_secs()
}

/// Replaces each loopback port of the page by a free one.
fn with_free_ports(page: &str) -> String {
    let mut ports = BTreeMap::new();
    let mut parts = page.split("127.0.0.1:");
    let mut text = parts.next().unwrap_or_default().to_owned();
    let mut free = free_ports();
    for part in parts {
        let digits = part.bytes().take_while(u8::is_ascii_digit).count();
        let port = ports
            .entry(part[..digits].to_owned())
            .or_insert_with(|| free.next().expect("a free port"));
        text.push_str(&format!("127.0.0.1:{port}{}", &part[digits..]));
    }
    text
}

/// Ports that nobody listens on and that no earlier call has returned.
fn free_ports() -> impl Iterator<Item = u16> {
    static NEXT_OFFSET: atomic::AtomicU16 = atomic::AtomicU16::new(0);
    let count = PORTS.end - PORTS.start;
    let start = (process::id() % u32::from(count)) as u16;
    let next = move || {
        let offset = NEXT_OFFSET.fetch_add(1, atomic::Ordering::Relaxed);
        Some(PORTS.start + (start + offset) % count)
    };
    let is_free = |port: &u16| net::TcpListener::bind(("127.0.0.1", *port)).is_ok();
    std::iter::from_fn(next).filter(is_free)
}

// ---------------------------------------------------------------------------
// Running commands

fn program(name: &str) -> path::PathBuf {
    lentil_tests::binaries().join(name)
}

fn spawn(folder: &path::Path, words: &[String]) -> Background {
    let mut command = process::Command::new(program(&words[0]));
    let child = command
        .args(&words[1..])
        .current_dir(folder)
        .stderr(process::Stdio::null())
        .spawn()
        .unwrap_or_else(|error| panic!("{words:?}: {error}"));
    Background(child)
}

/// Runs a command until it succeeds, as the processes it needs may still be
/// starting, and checks its output.
fn run_until_success(folder: &path::Path, words: &[String], expected: &[String]) {
    let deadline = time::Instant::now() + RETRY_TIMEOUT;
    loop {
        let result = if words[0] == "curl" {
            curl(words)
        } else {
            execute(folder, words)
        };
        match result {
            Ok(output) => {
                for line in expected {
                    assert!(
                        output.contains(line),
                        "{words:?}\nexpected {line}\ngot {output}"
                    );
                }
                return;
            }
            Err(output) => {
                assert!(
                    time::Instant::now() < deadline,
                    "{words:?} failed:\n{output}"
                );
                thread::sleep(RETRY_PERIOD);
            }
        }
    }
}

/// Runs a program. Returns `Err` with its output when it should be retried.
fn execute(folder: &path::Path, words: &[String]) -> Result<String, String> {
    let mut command = process::Command::new(program(&words[0]));
    let output = command.args(&words[1..]).current_dir(folder).output();
    let output = output.unwrap_or_else(|error| panic!("{words:?}: {error}"));
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    let all = format!("{}{}", text(&output.stdout), text(&output.stderr));
    match output.status.code() {
        Some(0) => Ok(all),
        Some(EXIT_UNREACHABLE | EXIT_NEGATIVE) => Err(all),
        code => panic!("{words:?} ended with {code:?}:\n{all}"),
    }
}

/// Implements the curl flags that the pages use. Returns `Err` when the request
/// should be retried.
fn curl(words: &[String]) -> Result<String, String> {
    let (mut method, mut url, mut body) = ("GET", String::new(), None);
    let mut headers = Vec::new();
    let mut words = words[1..].iter();
    while let Some(word) = words.next() {
        let mut value = || words.next().expect("the flag has a value").as_str();
        match word.as_str() {
            "-N" | "-s" => {}
            "-X" => method = value(),
            "-H" => headers.push(value()),
            "-d" => body = Some(value().to_owned()),
            _ => url = word.clone(),
        }
    }
    if body.is_some() && method == "GET" {
        method = "POST";
    }
    smol::block_on(async {
        let client = trillium_client::Client::new(trillium_smol::ClientConfig::new());
        let mut conn = client.build_conn(method, url.as_str());
        for header in headers {
            let (name, value) = header.split_once(": ").expect("a header has a colon");
            conn.request_headers_mut()
                .insert(name.to_owned(), value.to_owned());
        }
        conn.set_request_body(body.unwrap_or_default());
        let mut conn = conn.await.map_err(|error| error.to_string())?;
        let status = conn.status().map_or(0, |status| status as u16);
        let answer = conn.response_body().read_string().await;
        let answer = answer.map_err(|error| error.to_string())?;
        if (200..300).contains(&status) {
            Ok(answer)
        } else {
            Err(format!("{status} {answer}"))
        }
    })
}
