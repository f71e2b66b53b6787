//! Endpoint that answers with exact bytes, repeated until the caller closes the connection.
//!
//! It runs on threads of its own, so that it sends as fast as the socket takes bytes while the
//! event loop of the test is busy.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Bytes that are sent in answer to one request.
#[derive(Clone, Debug, Default)]
pub struct RawAnswer {
    /// Sent once.
    pub start: Vec<u8>,
    /// Sent again and again until the peer closes the connection, unless it is empty.
    pub repeat: Vec<u8>,
    /// Pause before each repetition; without it, many repetitions are sent at once.
    pub pause: Duration,
}

impl RawAnswer {
    /// Returns an answer that ends; the connection carries further requests.
    pub fn complete(start: &str) -> Self {
        Self {
            start: start.into(),
            ..Self::default()
        }
    }

    /// Returns an answer that repeats bytes as fast as the socket takes them.
    pub fn endless(start: &str, repeat: &str) -> Self {
        Self {
            start: start.into(),
            repeat: repeat.into(),
            pause: Duration::ZERO,
        }
    }

    /// Returns an answer that repeats bytes every ten milliseconds.
    pub fn dripping(start: &str, repeat: &str) -> Self {
        Self {
            pause: Duration::from_millis(10),
            ..Self::endless(start, repeat)
        }
    }
}

#[derive(Default)]
struct RawState {
    requests: Mutex<Vec<String>>,
    endless_answers: AtomicUsize,
}

/// Endpoint on loopback; clones share its state.
#[derive(Clone)]
pub struct RawEndpoint {
    address: SocketAddr,
    state: Arc<RawState>,
}

impl RawEndpoint {
    /// Starts an endpoint; `answer` receives the head of each request.
    pub fn start<Answer>(answer: Answer) -> Self
    where
        Answer: Fn(&str) -> RawAnswer + Send + Sync + 'static,
    {
        Self::start_with(answer, false)
    }

    /// Starts an endpoint that sends a second copy of each answer when the connection is in use
    /// again, before the answer to the next request.
    pub fn start_doubling<Answer>(answer: Answer) -> Self
    where
        Answer: Fn(&str) -> RawAnswer + Send + Sync + 'static,
    {
        Self::start_with(answer, true)
    }

    fn start_with<Answer>(answer: Answer, is_doubling: bool) -> Self
    where
        Answer: Fn(&str) -> RawAnswer + Send + Sync + 'static,
    {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let state = Arc::new(RawState::default());
        let shared_state = Arc::clone(&state);
        let answer = Arc::new(answer);
        std::thread::spawn(move || {
            while let Ok((stream, _)) = listener.accept() {
                let state = Arc::clone(&shared_state);
                let answer = Arc::clone(&answer);
                std::thread::spawn(move || {
                    serve_connection(&state, stream, &*answer, is_doubling);
                });
            }
        });
        Self { address, state }
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the heads of all received requests.
    pub fn requests(&self) -> Vec<String> {
        self.state.requests.lock().expect("the requests").clone()
    }

    /// Returns the number of answers that are being repeated, as their connections are open.
    pub fn endless_answers(&self) -> usize {
        self.state.endless_answers.load(Ordering::Relaxed)
    }
}

fn serve_connection<Answer>(
    state: &RawState,
    mut stream: TcpStream,
    answer: &Answer,
    is_doubling: bool,
) where
    Answer: Fn(&str) -> RawAnswer,
{
    stream.set_nodelay(true).expect("a socket");
    let mut second_copy = Vec::new();
    while let Some(head) = read_request(&mut stream) {
        state
            .requests
            .lock()
            .expect("the requests")
            .push(head.clone());
        let answer = answer(&head);
        let bytes = [second_copy.as_slice(), answer.start.as_slice()].concat();
        if stream.write_all(&bytes).is_err() {
            return;
        }
        if is_doubling {
            second_copy.clone_from(&answer.start);
        }
        if !answer.repeat.is_empty() {
            state.endless_answers.fetch_add(1, Ordering::Relaxed);
            repeat_answer(&mut stream, &answer);
            state.endless_answers.fetch_sub(1, Ordering::Relaxed);
            return;
        }
    }
}

/// Reads a request with its body and returns its head.
fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        stream.read_exact(&mut byte).ok()?;
        head.push(byte[0]);
    }
    let head = String::from_utf8_lossy(&head).to_ascii_lowercase();
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length:"))
        .and_then(|text| text.trim().parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    stream.read_exact(&mut body).ok()?;
    Some(head)
}

/// Number of bytes that are sent at once by an answer without a pause.
const BATCH_BYTES: usize = 64 * 1024;

/// Repeats an answer until the peer closes the connection.
fn repeat_answer(stream: &mut TcpStream, answer: &RawAnswer) {
    let batch = if answer.pause.is_zero() {
        let count = BATCH_BYTES.div_ceil(answer.repeat.len());
        answer.repeat.repeat(count)
    } else {
        answer.repeat.clone()
    };
    loop {
        std::thread::sleep(answer.pause);
        if stream.write_all(&batch).is_err() {
            return;
        }
    }
}

/// Returns the value of a header of a received request, or an empty text.
pub fn header_value<'head>(head: &'head str, name: &str) -> &'head str {
    head.lines()
        .filter_map(|line| line.split_once(':'))
        .find(|(key, _)| *key == name)
        .map_or("", |(_, value)| value.trim())
}
