//! Minimal HTTP/1.1 server and client on blocking sockets.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Request as it was received.
#[derive(Clone, Debug, Default)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        find_header(&self.headers, name)
    }
}

/// Response to send, or one that was received.
#[derive(Clone, Debug, Default)]
pub struct Response {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Response {
    pub fn new(status: u16, body: &str) -> Self {
        Self {
            status,
            headers: Vec::new(),
            body: body.to_owned(),
        }
    }

    pub fn with_header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        find_header(&self.headers, name)
    }
}

fn find_header<'headers>(
    headers: &'headers [(String, String)],
    name: &str,
) -> Option<&'headers str> {
    let mut headers = headers.iter();
    let found = headers.find(|(key, _)| key.eq_ignore_ascii_case(name));
    found.map(|(_, value)| value.as_str())
}

/// Server that answers requests with a handler.
///
/// A handler that returns `None` closes the connection without an answer.
pub struct Server {
    address: SocketAddr,
    state: Arc<ServerState>,
}

#[derive(Default)]
struct ServerState {
    is_away: AtomicBool,
    next_connection: AtomicU64,
    connections: Mutex<Vec<(u64, TcpStream)>>,
}

impl Server {
    pub fn start<Handler>(address: SocketAddr, handler: Handler) -> io::Result<Self>
    where
        Handler: Fn(&Request) -> Option<Response> + Send + Sync + 'static,
    {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        let state = Arc::new(ServerState::default());
        let accept_state = Arc::clone(&state);
        let handler = Arc::new(handler);
        thread::spawn(move || {
            for stream in listener.incoming() {
                let Ok(stream) = stream else { continue };
                if accept_state.is_away.load(Ordering::SeqCst) {
                    continue;
                }
                let id = accept_state.next_connection.fetch_add(1, Ordering::SeqCst);
                if let Ok(copy) = stream.try_clone() {
                    accept_state.connections.lock().unwrap().push((id, copy));
                }
                let state = Arc::clone(&accept_state);
                let handler = Arc::clone(&handler);
                thread::spawn(move || {
                    let _ = serve(&stream, &*handler);
                    let _ = stream.shutdown(Shutdown::Both);
                    state
                        .connections
                        .lock()
                        .unwrap()
                        .retain(|(other, _)| *other != id);
                });
            }
        });
        Ok(Self { address, state })
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Ends all connections and closes new ones at once, until it is called with `false`.
    pub fn set_away(&self, is_away: bool) {
        self.state.is_away.store(is_away, Ordering::SeqCst);
        if is_away {
            self.close_connections();
        }
    }

    fn close_connections(&self) {
        for (_, stream) in self.state.connections.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

fn serve(stream: &TcpStream, handler: &dyn Fn(&Request) -> Option<Response>) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    while let Some(request) = read_request(&mut reader)? {
        let Some(response) = handler(&request) else {
            return Ok(());
        };
        let mut text = format!("HTTP/1.1 {} Status\r\n", response.status);
        for (name, value) in &response.headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        text.push_str(&format!("Content-Length: {}\r\n\r\n", response.body.len()));
        text.push_str(&response.body);
        (&mut &*stream).write_all(text.as_bytes())?;
    }
    Ok(())
}

fn read_line(reader: &mut impl BufRead) -> io::Result<String> {
    let mut line = String::new();
    reader.read_line(&mut line)?;
    Ok(line.trim_end().to_owned())
}

fn read_headers(reader: &mut impl BufRead) -> io::Result<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            return Ok(headers);
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

fn read_body(reader: &mut impl BufRead, headers: &[(String, String)]) -> io::Result<String> {
    let is_chunked = find_header(headers, "transfer-encoding").is_some();
    let mut body = Vec::new();
    if is_chunked {
        loop {
            let line = read_line(reader)?;
            let size = usize::from_str_radix(line.split(';').next().unwrap_or("0").trim(), 16);
            let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            if size == 0 {
                break;
            }
            body.extend_from_slice(&chunk[..size]);
        }
    } else {
        let length = find_header(headers, "content-length");
        let length = length.and_then(|length| length.parse().ok()).unwrap_or(0);
        body.resize(length, 0);
        reader.read_exact(&mut body)?;
    }
    Ok(String::from_utf8_lossy(&body).into_owned())
}

fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Request>> {
    let line = read_line(reader)?;
    let mut words = line.split(' ');
    let (Some(method), Some(path)) = (words.next(), words.next()) else {
        return Ok(None);
    };
    let (method, path) = (method.to_owned(), path.to_owned());
    let headers = read_headers(reader)?;
    let body = read_body(reader, &headers)?;
    Ok(Some(Request {
        method,
        path,
        headers,
        body,
    }))
}

/// Sends a request over a new connection and reads the complete response.
pub fn call(address: SocketAddr, request: &Request, limit: Duration) -> io::Result<Response> {
    let stream = TcpStream::connect_timeout(&address, limit.min(Duration::from_secs(1)))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    let mut text = format!("{} {} HTTP/1.1\r\n", request.method, request.path);
    for (name, value) in &request.headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", request.body.len()));
    text.push_str(&request.body);
    (&mut &stream).write_all(text.as_bytes())?;
    let mut reader = BufReader::new(stream);
    let line = read_line(&mut reader)?;
    let status = line
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok());
    let status = status.ok_or_else(|| io::Error::from(io::ErrorKind::UnexpectedEof))?;
    let headers = read_headers(&mut reader)?;
    let body = read_body(&mut reader, &headers)?;
    Ok(Response {
        status,
        headers,
        body,
    })
}
