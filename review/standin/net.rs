//! Plain HTTP/1.1 messages over blocking sockets.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// A request or an answer.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub first: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        let mut fields = self.fields.iter();
        let found = fields.find(|(other, _)| other.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }

    /// A number in the query of the target.
    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target().split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
    }

    /// 0 if it is no answer.
    pub fn status(&self) -> u16 {
        let code = self.first.split(' ').nth(1);
        code.and_then(|code| code.parse().ok()).unwrap_or(0)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

fn invalid() -> io::Error {
    io::ErrorKind::InvalidData.into()
}

fn read_line(from: &mut BufReader<TcpStream>) -> io::Result<Option<String>> {
    let mut line = Vec::new();
    from.read_until(b'\n', &mut line)?;
    if line.is_empty() {
        return Ok(None);
    }
    let line = String::from_utf8(line).map_err(|_| invalid())?;
    if !line.ends_with("\r\n") {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(Some(line.trim_end().to_owned()))
}

/// Reads a message; `None` when the connection has ended before it.
pub fn read_message(from: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let Some(first) = read_line(from)? else {
        return Ok(None);
    };
    let mut message = Message {
        first,
        ..Message::default()
    };
    loop {
        let line = read_line(from)?.ok_or_else(invalid)?;
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':').ok_or_else(invalid)?;
        let field = (name.to_owned(), value.trim().to_owned());
        message.fields.push(field);
    }
    if message.field("Transfer-Encoding") == Some("chunked") {
        loop {
            let line = read_line(from)?.ok_or_else(invalid)?;
            let size = usize::from_str_radix(&line, 16).map_err(|_| invalid())?;
            let mut chunk = vec![0; size + 2];
            from.read_exact(&mut chunk)?;
            message.body.extend_from_slice(&chunk[..size]);
            if size == 0 {
                break;
            }
        }
    } else if let Some(size) = message.field("Content-Length") {
        let size = size.parse().map_err(|_| invalid())?;
        let mut body = vec![0; size];
        from.read_exact(&mut body)?;
        message.body = body;
    }
    Ok(Some(message))
}

/// Writes an answer with a length.
pub fn write_answer(
    to: &mut TcpStream,
    status: u16,
    fields: &str,
    body: &str,
) -> io::Result<()> {
    let size = body.len();
    let text = format!("HTTP/1.1 {status} -\r\n{fields}Content-Length: {size}\r\n\r\n{body}");
    to.write_all(text.as_bytes())
}

/// Sends a request on a new connection and reads the answer.
pub fn ask(address: SocketAddr, request: &[u8], limit: Duration) -> io::Result<Message> {
    let stream = TcpStream::connect_timeout(&address, limit)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    (&stream).write_all(request)?;
    let answer = read_message(&mut BufReader::new(stream))?;
    answer.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}
