//! HTTP/1.1 on loopback addresses: a server with one thread for each connection, and a client with
//! one connection for each request.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// A request as a server receives it.
pub struct Request {
    pub method: String,
    /// Path without the query.
    pub path: String,
    /// Query without its question mark.
    pub query: String,
    pub body: String,
}

impl Request {
    /// Returns a parameter of the query; empty if there is none.
    pub fn parameter(&self, name: &str) -> &str {
        let pairs = self
            .query
            .split('&')
            .filter_map(|pair| pair.split_once('='));
        let mut named = pairs.filter(|pair| pair.0 == name);
        named.next().map_or("", |pair| pair.1)
    }
}

/// What a server does with a request.
pub enum Reply {
    /// Status and JSON body.
    Answer(u16, String),
    /// The connection is closed without an answer.
    Close,
}

pub type Handler = Arc<dyn Fn(Request) -> Reply + Send + Sync>;

/// Serves requests on a free port of the loopback interface; returns its address.
pub fn serve(handler: Handler) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let addr = listener.local_addr()?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || serve_connection(stream, &handler));
        }
    });
    Ok(addr)
}

fn serve_connection(stream: TcpStream, handler: &Handler) -> Option<()> {
    let _ = stream.set_nodelay(true);
    let mut writer = stream.try_clone().ok()?;
    let mut reader = BufReader::new(stream);
    loop {
        let (request, closes) = read_request(&mut reader)?;
        match handler(request) {
            Reply::Answer(status, body) => {
                let head = format!(
                    "HTTP/1.1 {status} x\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
                    body.len()
                );
                writer.write_all((head + &body).as_bytes()).ok()?;
            }
            Reply::Close => return None,
        }
        if closes {
            return None;
        }
    }
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<(Request, bool)> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let mut words = line.split_whitespace();
    let (method, target) = (words.next()?.to_string(), words.next()?.to_string());
    let (headers, body) = read_rest(reader)?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let request = Request {
        method,
        path: path.into(),
        query: query.into(),
        body,
    };
    Some((request, headers.contains("connection: close")))
}

/// Reads the headers, in lower case, and the body.
fn read_rest(reader: &mut BufReader<TcpStream>) -> Option<(String, String)> {
    let mut headers = String::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        if line.trim().is_empty() {
            break;
        }
        headers.push_str(&line.to_ascii_lowercase());
    }
    let length = headers
        .lines()
        .find_map(|line| line.strip_prefix("content-length:"))
        .and_then(|text| text.trim().parse::<usize>().ok())
        .unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some((headers, String::from_utf8(body).ok()?))
}

/// An answer to a request.
pub struct Answer {
    pub status: u16,
    pub body: String,
    /// `Retry-After` in seconds; 0 if the answer has none.
    pub retry_after_s: f64,
}

/// Sends a request on a new connection; none if there is no complete answer within `timeout`.
pub fn call(
    addr: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
    timeout: Duration,
) -> Option<Answer> {
    let ends = Instant::now() + timeout;
    let mut stream = TcpStream::connect_timeout(&addr, timeout).ok()?;
    let _ = stream.set_nodelay(true);
    let head = format!(
        "{method} {path} HTTP/1.1\r\nhost: {addr}\r\nconnection: close\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all((head + body).as_bytes()).ok()?;
    let left = ends.saturating_duration_since(Instant::now());
    stream
        .set_read_timeout(Some(left.max(Duration::from_millis(1))))
        .ok()?;
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    let status = line.split_whitespace().nth(1)?.parse().ok()?;
    let (headers, body) = read_rest(&mut reader)?;
    let retry_after_s = headers
        .lines()
        .find_map(|line| line.strip_prefix("retry-after:"))
        .and_then(|text| text.trim().parse().ok())
        .unwrap_or(0.0);
    Some(Answer {
        status,
        body,
        retry_after_s,
    })
}
