//! Callers' connections that carry more than one request.

use std::net::TcpStream;
use std::thread::JoinHandle;
use std::time::Duration;

use crate::cell::{CannotRun, Cell, Daemon};
use crate::http::{Answer, read_answer, send};
use crate::record::Record;

/// A caller's connection to one daemon.
pub struct KeptConnection {
    pub daemon: String,
    pub stream: TcpStream,
    pub warm_up: Option<JoinHandle<Answer>>,
}

impl KeptConnection {
    pub fn open(cell: &Cell, daemon: &Daemon) -> Result<KeptConnection, CannotRun> {
        let stream = TcpStream::connect_timeout(&daemon.front, Duration::from_secs(1))?;
        cell.record.note(format!("connection to {} opened", daemon.name));
        Ok(KeptConnection { daemon: daemon.name.clone(), stream, warm_up: None })
    }

    pub fn finish_warm_up(&mut self) {
        if let Some(warm_up) = self.warm_up.take() {
            // A failed warm-up shows in the record and in what follows.
            let _answer = warm_up.join();
        }
    }
}

/// The bytes of a request.
pub fn message(method: &str, path: &str, id: &str, body: &str) -> Vec<u8> {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: barges.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 3000\r\nX-Key: key-one\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

/// Sends one request and reads its answer, for up to `wait`.
pub fn exchange(record: &Record, mut stream: TcpStream, method: &str, path: &str, id: &str, wait: Duration) -> Answer {
    let _set = stream.set_read_timeout(Some(wait));
    let began = record.now();
    record.note(format!("sent {id} ({method} {path})"));
    send(&mut stream, &message(method, path, id, ""));
    let answer = read_answer(&mut stream, &mut Vec::new());
    let took = (record.now() - began).as_secs_f64();
    match answer.status {
        0 => record.note(format!("no answer to {id}: the connection ended or the wait, after {took:.3} s")),
        status => record.note(format!("answer to {id}: {status}, whole: {}, after {took:.3} s", answer.is_whole)),
    }
    answer
}
