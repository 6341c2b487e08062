//! A caller that writes raw HTTP.

use std::net;

use smol::{
    io::{AsyncBufReadExt as _, AsyncReadExt as _, AsyncWriteExt as _, BufReader},
    net::TcpStream,
};

/// A caller's connection.
pub struct Caller {
    stream: BufReader<TcpStream>,
}

/// An HTTP response.
#[derive(Debug)]
pub struct Response {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body was received to its end.
    pub is_complete: bool,
}

impl Caller {
    pub async fn connect(address: net::SocketAddr) -> Self {
        let stream = TcpStream::connect(address).await.expect("it listens");
        Self {
            stream: BufReader::new(stream),
        }
    }

    /// Writes bytes. Ignores that the entry may have closed the connection.
    pub async fn write(&mut self, bytes: &[u8]) {
        let _ = self.stream.get_mut().write_all(bytes).await;
    }

    /// Writes a request with a `content-length`.
    pub async fn request(&mut self, method: &str, path: &str, headers: &str, body: &[u8]) {
        let length = body.len();
        let head = format!(
            "{method} {path} HTTP/1.1\r\nhost: entry\r\n{headers}content-length: {length}\r\n\r\n"
        );
        self.write(head.as_bytes()).await;
        self.write(body).await;
    }

    pub async fn response(&mut self) -> Response {
        let mut response = self.head().await;
        if response.header("transfer-encoding") == Some("chunked") {
            response.is_complete = self.chunks(&mut response.body).await;
        } else {
            let length = response
                .header("content-length")
                .and_then(|text| text.parse().ok());
            response.body = vec![0; length.unwrap_or(0)];
            response.is_complete = self.stream.read_exact(&mut response.body).await.is_ok();
        }
        response
    }

    /// Reads a response's status and headers.
    pub async fn head(&mut self) -> Response {
        let status_line = self.line().await;
        let status = status_line.split(' ').nth(1).unwrap_or_default();
        let status = status.parse().unwrap_or(0);
        let mut headers = Vec::new();
        loop {
            let line = self.line().await;
            let Some((name, value)) = line.split_once(": ") else {
                break;
            };
            headers.push((name.to_ascii_lowercase(), value.to_owned()));
        }
        let (body, is_complete) = (Vec::new(), false);
        Response {
            status,
            headers,
            body,
            is_complete,
        }
    }

    /// Reads a line without its end.
    pub async fn line(&mut self) -> String {
        let mut line = Vec::new();
        let _ = self.stream.read_until(b'\n', &mut line).await;
        String::from_utf8_lossy(&line).trim_end().to_owned()
    }

    /// Whether the entry has closed the connection.
    pub async fn is_closed(&mut self) -> bool {
        let mut rest = Vec::new();
        let read = self.stream.read_to_end(&mut rest).await;
        read.is_err() || rest.is_empty()
    }

    async fn chunks(&mut self, body: &mut Vec<u8>) -> bool {
        loop {
            let Ok(size) = usize::from_str_radix(&self.line().await, 16) else {
                return false;
            };
            let mut chunk = vec![0; size + 2];
            if self.stream.read_exact(&mut chunk).await.is_err() {
                return false;
            }
            if size == 0 {
                return true;
            }
            body.extend_from_slice(&chunk[..size]);
        }
    }
}

impl Response {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(other, _)| other == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body).expect("the body is JSON")
    }

    pub fn text(&self) -> &str {
        std::str::from_utf8(&self.body).expect("the body is UTF-8")
    }

    /// The data of each event of the body.
    pub fn events(&self) -> Vec<&str> {
        let data = |line: &'_ str| line.starts_with("data: ");
        let lines = self.text().lines().filter(|line| data(line));
        lines
            .filter_map(|line| line.strip_prefix("data: "))
            .collect()
    }
}
