//! Minimal HTTP/1.1 over blocking sockets: enough for stand-ins of callers, replicas and the store.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

pub type Headers = Vec<(String, String)>;

#[derive(Debug, Clone)]
pub struct Message {
    /// Request line or status line.
    pub start: String,
    pub headers: Headers,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Method and target of a request.
    pub fn target(&self) -> (&str, &str) {
        let mut words = self.start.split(' ');
        (words.next().unwrap_or(""), words.next().unwrap_or(""))
    }

    /// Status code of a response.
    pub fn status(&self) -> u16 {
        self.start
            .split(' ')
            .nth(1)
            .and_then(|code| code.parse().ok())
            .unwrap_or(0)
    }
}

/// Connection with a read buffer.
pub struct Wire {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

fn broken(text: &str) -> io::Error {
    io::Error::new(io::ErrorKind::UnexpectedEof, text.to_owned())
}

impl Wire {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    pub fn connect(address: SocketAddr) -> io::Result<Self> {
        TcpStream::connect_timeout(&address, Duration::from_secs(1)).map(Self::new)
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut bytes = [0; 8192];
        let count = self.stream.read(&mut bytes)?;
        self.buffer.extend_from_slice(&bytes[..count]);
        Ok(count)
    }

    /// Reads a line without its end; `None` if the connection ended before it.
    fn line(&mut self) -> io::Result<Option<String>> {
        loop {
            if let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.buffer.drain(..=end).collect();
                return Ok(Some(String::from_utf8_lossy(&line).trim_end().to_owned()));
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
    }

    fn exactly(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < count {
            if self.fill()? == 0 {
                return Err(broken("the body ended early"));
            }
        }
        Ok(self.buffer.drain(..count).collect())
    }

    /// Reads the start line and the headers; `None` at the end of the connection.
    pub fn read_head(&mut self) -> io::Result<Option<Message>> {
        let Some(start) = self.line()? else {
            return Ok(None);
        };
        let mut headers = Headers::new();
        loop {
            let line = self.line()?.ok_or_else(|| broken("the head ended early"))?;
            if line.is_empty() {
                return Ok(Some(Message {
                    start,
                    headers,
                    body: Vec::new(),
                }));
            }
            if let Some((name, value)) = line.split_once(':') {
                headers.push((name.trim().to_owned(), value.trim().to_owned()));
            }
        }
    }

    /// Reads one chunk of a chunked body; empty at its end.
    pub fn read_chunk(&mut self) -> io::Result<Vec<u8>> {
        let line = self
            .line()?
            .ok_or_else(|| broken("the chunks ended early"))?;
        let size = line.split(';').next().unwrap_or("").trim();
        let size = usize::from_str_radix(size, 16).map_err(|_| broken("not a chunk"))?;
        let chunk = self.exactly(size)?;
        self.line()?
            .ok_or_else(|| broken("the chunks ended early"))?;
        Ok(chunk)
    }

    /// Reads a whole message; `None` at the end of the connection.
    pub fn read(&mut self) -> io::Result<Option<Message>> {
        let Some(mut message) = self.read_head()? else {
            return Ok(None);
        };
        let length = message
            .header("content-length")
            .and_then(|text| text.parse().ok());
        if let Some(length) = length {
            message.body = self.exactly(length)?;
        } else if message.header("transfer-encoding").is_some() {
            loop {
                let chunk = self.read_chunk()?;
                if chunk.is_empty() {
                    break;
                }
                message.body.extend_from_slice(&chunk);
            }
        }
        Ok(Some(message))
    }

    pub fn send(&mut self, text: &[u8]) -> io::Result<()> {
        self.stream.write_all(text)
    }
}

/// Encodes a request or a response with a length.
pub fn encode(start: &str, headers: &[(&str, String)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("{start}\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Sends one request over a new connection.
pub fn call(address: SocketAddr, request: &[u8], limit: Duration) -> io::Result<Message> {
    let mut wire = Wire::connect(address)?;
    wire.stream.set_read_timeout(Some(limit))?;
    wire.send(request)?;
    wire.read()?
        .ok_or_else(|| broken("closed without an answer"))
}
