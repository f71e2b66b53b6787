//! HTTP/1.1 over blocking sockets, as far as the stand-ins need it.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// A request or a response.
#[derive(Debug, Default)]
pub struct Message {
    /// First line.
    pub start: String,
    headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body is complete.
    pub is_whole: bool,
}

impl Message {
    /// Returns a header; its name is in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers
            .find(|(key, _)| key == name)
            .map(|(_, value)| &**value)
    }

    /// Returns the method and the target of a request.
    pub fn request(&self) -> (&str, &str) {
        let mut words = self.start.split(' ');
        (words.next().unwrap_or(""), words.next().unwrap_or(""))
    }

    /// Returns the status of a response.
    pub fn status(&self) -> u16 {
        let code = self.start.split(' ').nth(1);
        code.and_then(|code| code.parse().ok()).unwrap_or(0)
    }
}

/// Reads a message; `None` at a regular end of the connection.
pub fn read_message(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    if reader.read_line(&mut message.start)? == 0 {
        return Ok(None);
    }
    message.start.truncate(message.start.trim_end().len());
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':').unwrap_or((line, ""));
        message
            .headers
            .push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
    if message.header("transfer-encoding").is_some() {
        message.is_whole = read_chunks(reader, &mut message.body).is_ok();
    } else {
        let length = message
            .header("content-length")
            .and_then(|length| length.parse().ok());
        message.body = vec![0; length.unwrap_or(0)];
        message.is_whole = reader.read_exact(&mut message.body).is_ok();
    }
    Ok(Some(message))
}

fn read_chunks(reader: &mut BufReader<TcpStream>, body: &mut Vec<u8>) -> io::Result<()> {
    loop {
        let mut line = String::new();
        reader.read_line(&mut line)?;
        let size =
            usize::from_str_radix(line.trim(), 16).map_err(|_| io::ErrorKind::InvalidData)?;
        let start = body.len();
        body.resize(start + size, 0);
        reader.read_exact(&mut body[start..])?;
        let mut end = [0; 2];
        reader.read_exact(&mut end)?;
        if size == 0 {
            return Ok(());
        }
    }
}

/// Sends a response with a body of known length.
pub fn respond(stream: &mut TcpStream, status: u16, headers: &str, body: &[u8]) -> io::Result<()> {
    let head = format!(
        "HTTP/1.1 {status} Status\r\n{headers}Content-Length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(&[head.as_bytes(), body].concat())
}

/// Binds a free loopback port and serves each connection on a thread of its own.
pub fn listen<Serve>(serve: Serve) -> SocketAddr
where
    Serve: Fn(&Message, &mut TcpStream) -> io::Result<()> + Clone + Send + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || self::serve(listener, serve));
    address
}

/// Serves each connection on a thread of its own, for ever.
pub fn serve<Serve>(listener: TcpListener, serve: Serve)
where
    Serve: Fn(&Message, &mut TcpStream) -> io::Result<()> + Clone + Send + 'static,
{
    for stream in listener.incoming().flatten() {
        let serve = serve.clone();
        std::thread::spawn(move || {
            let _ = stream.set_nodelay(true);
            let Ok(mut writer) = stream.try_clone() else {
                return;
            };
            let mut reader = BufReader::new(stream);
            while let Ok(Some(message)) = read_message(&mut reader) {
                if !message.is_whole || serve(&message, &mut writer).is_err() {
                    break;
                }
            }
        });
    }
}

/// Sends a request over a new connection and reads the response.
pub fn call(address: SocketAddr, head: &str, body: &[u8], limit: Duration) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    stream.set_write_timeout(Some(limit))?;
    stream.write_all(head.as_bytes())?;
    stream.write_all(body)?;
    let mut reader = BufReader::new(stream);
    read_message(&mut reader)?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}
