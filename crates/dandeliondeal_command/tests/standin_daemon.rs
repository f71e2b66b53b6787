//! The `dandeliondeal-standin` program, run as a process.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::process::{Child, Command, Output, Stdio};

const PROGRAM: &str = env!("CARGO_BIN_EXE_dandeliondeal-standin");

fn run_program(arguments: &[&str]) -> Output {
    Command::new(PROGRAM).args(arguments).output().unwrap()
}

fn start_program(kind: &str) -> (Child, String) {
    let mut child = Command::new(PROGRAM)
        .args([kind, "--listen", "127.0.0.1:0"])
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut line = String::new();
    BufReader::new(child.stdout.take().unwrap())
        .read_line(&mut line)
        .unwrap();
    let address = line.trim().rsplit(' ').next().unwrap().to_owned();
    (child, address)
}

fn send_request(address: &str, head: &str, body: &str) -> String {
    let mut stream = TcpStream::connect(address).unwrap();
    let length = body.len();
    write!(
        stream,
        "{head} HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n{body}"
    )
    .unwrap();
    let mut answer = String::new();
    // A process that exits resets the connection, so an error here is expected.
    let _ = stream.read_to_string(&mut answer);
    answer
}

#[test]
fn wrong_usage() {
    for arguments in [
        &["engine"][..],
        &["engine", "--listen", "127.0.0.1:0", "--range", "4..20"],
        &["planet", "--listen", "127.0.0.1:0"],
        &["service", "--listen", "127.0.0.1:0", "--settles", "maybe"],
        &["platform", "--listen", "127.0.0.1:0", "--unknown"],
    ] {
        let output = run_program(arguments);
        assert_eq!(output.status.code(), Some(2), "{arguments:?}");
        let error = String::from_utf8(output.stderr).unwrap();
        assert_eq!(error.lines().count(), 1, "{error}");
    }
    assert_eq!(run_program(&["--help"]).status.code(), Some(0));
}

#[test]
fn die_fault() {
    for kind in ["platform", "engine", "service"] {
        let (mut child, address) = start_program(kind);
        assert!(send_request(&address, "GET /ledger", "").starts_with("HTTP/1.1 200"));
        send_request(&address, "POST /faults", r#"{"die":true}"#);
        assert_eq!(child.wait().unwrap().code(), Some(1));
        assert!(TcpStream::connect(&address).is_err());
    }
}
