//! The program under floods on loopback: what does not fit is refused at once.

use cherryyard_simulation::process::{self, Process};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::path::Path;
use std::time::Duration;

/// A controller alone, with nothing to talk to and little memory.
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

struct Controller(Process);

impl Controller {
    fn send(&self, text: &[u8]) -> TcpStream {
        let mut stream = TcpStream::connect(&self.0.addr).expect("a connection");
        stream
            .set_read_timeout(Some(Duration::from_secs(20)))
            .expect("a time-out");
        // What is refused may be closed before it is all sent.
        let _ = stream.write_all(text);
        stream
    }
}

fn status(stream: &mut TcpStream) -> String {
    let mut answer = [0; 12];
    match stream.read_exact(&mut answer) {
        Ok(()) => String::from_utf8_lossy(&answer[9..]).into_owned(),
        Err(e) => e.to_string(),
    }
}

/// Guards against an end for memory: unfinished bodies of 64 KB on every
/// connection took 122 MB where 53 were allowed.
#[test]
fn unfinished_bodies_take_a_bounded_room() {
    let controller = controller();
    let mut body = b"POST /v2/runs HTTP/1.1\r\nhost: x\r\ncontent-length: 60001\r\n\r\n{".to_vec();
    body.resize(body.len() + 59_000, b' ');
    // 16 MB leave 1 MB for bodies: 16 of these fit, and the rest do not.
    let mut streams: Vec<TcpStream> = (0..60).map(|_| controller.send(&body)).collect();
    // Those that fit are given up after a while, as the rest never comes.
    let mut statuses: Vec<String> = streams.iter_mut().map(status).collect();
    statuses.retain(|s| s == "503");
    assert!(
        (40..60).contains(&statuses.len()),
        "{} refused",
        statuses.len()
    );
    // Once they are gone, others are read again.
    drop(streams);
    let small = b"POST /v2/runs HTTP/1.1\r\nhost: x\r\ncontent-length: 2\r\n\r\n[]";
    let mut last = String::new();
    for _ in 0..200 {
        last = status(&mut controller.send(small));
        if last == "400" {
            break;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    assert_eq!(last, "400");
}

/// Guards against the same by heads: 300 KB on every connection took 353 MB.
#[test]
fn large_heads_and_bodies_are_refused_unread() {
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
