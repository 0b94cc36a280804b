//! The real program under floods of requests over loopback: what exceeds its limits is refused at
//! once.

use cherryyard_simulation::process::{self, Process};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::path::Path;
use std::time::Duration;

/// Starts a controller with 16 MB of memory and without a state service.
fn controller() -> Controller {
    let mut settings = process::settings(&format!("127.0.0.1:{}", process::free_port()));
    settings["cluster"]["limits"]["memory_mb"] = 16.0.into();
    settings["cluster"]["limits"]["sockets"] = 400.into();
    let program = Path::new(env!("CARGO_BIN_EXE_cherryyard"));
    let controller = Controller(Process::start(program, &settings, ""));
    for _ in 0..500 {
        if TcpStream::connect(&controller.0.addr).is_ok() {
            break;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    controller
}

/// A running controller.
struct Controller(Process);

impl Controller {
    /// Opens a connection and sends this text.
    fn send(&self, text: &[u8]) -> TcpStream {
        let mut stream = TcpStream::connect(&self.0.addr).expect("a connection");
        stream
            .set_read_timeout(Some(Duration::from_secs(20)))
            .expect("a time-out");
        // The controller may refuse the request and close the connection before all is sent.
        let _ = stream.write_all(text);
        stream
    }
}

/// Reads the status of a response; returns the error if there is none.
fn status(stream: &mut TcpStream) -> String {
    let mut response = [0; 12];
    match stream.read_exact(&mut response) {
        Ok(()) => String::from_utf8_lossy(&response[9..]).into_owned(),
        Err(e) => e.to_string(),
    }
}

/// Guards against exhausted memory by unfinished bodies: 64 KB on every connection took 122 MB
/// where 53 MB were allowed.
#[test]
fn unfinished_bodies_take_bounded_memory() {
    let controller = controller();
    let mut body = b"POST /v2/runs HTTP/1.1\r\nhost: x\r\ncontent-length: 60001\r\n\r\n{".to_vec();
    body.resize(body.len() + 59_000, b' ');
    // With 16 MB of memory, bodies may take 1 MB: 16 of these bodies fit, the others do not.
    let mut streams: Vec<TcpStream> = (0..60).map(|_| controller.send(&body)).collect();
    // The bodies that fit time out, as they never become complete.
    let mut statuses: Vec<String> = streams.iter_mut().map(status).collect();
    statuses.retain(|s| s == "503");
    assert!(
        (40..60).contains(&statuses.len()),
        "{} refused",
        statuses.len()
    );
    // Once these connections are closed, bodies are read again.
    drop(streams);
    let small = b"POST /v2/runs HTTP/1.1\r\nhost: x\r\ncontent-length: 2\r\n\r\n[]";
    let mut last_status = String::new();
    for _ in 0..200 {
        last_status = status(&mut controller.send(small));
        if last_status == "400" {
            break;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    assert_eq!(last_status, "400");
}

/// Guards against exhausted memory by large request heads: 300 KB on every connection took 353 MB.
/// Heads and bodies that are too large are refused before they are read.
#[test]
fn large_heads_and_bodies_are_refused_before_they_are_read() {
    let controller = controller();
    let mut head = b"POST /hello HTTP/1.1\r\nhost: x\r\nx: ".to_vec();
    head.resize(20_000, b'y');
    assert_eq!(status(&mut controller.send(&head)), "431");
    let large = b"POST /hello HTTP/1.1\r\nhost: x\r\ncontent-length: 65537\r\n\r\n";
    assert_eq!(status(&mut controller.send(large)), "413");
    let chunked = b"POST /hello HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n11000\r\n";
    let mut body = chunked.to_vec();
    body.resize(body.len() + 0x11000, b' ');
    assert_eq!(status(&mut controller.send(&body)), "413");
}
