//! The callers' HTTP interface: bad input is answered with a reason and never makes an entry panic.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::fleet::{body_json, get, post, Plan};

/// Sends raw bytes, and reads until the entry closes the connection or sends nothing for 3 s.
fn send_raw(addr: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(addr).expect("a connection");
    stream
        .set_read_timeout(Some(Duration::from_secs(3)))
        .expect("a timeout");
    let _ = stream.write_all(bytes);
    let mut got = Vec::new();
    let mut buf = [0u8; 4096];
    while let Ok(n) = stream.read(&mut buf) {
        if n == 0 {
            break;
        }
        got.extend_from_slice(&buf[..n]);
    }
    String::from_utf8_lossy(&got).into_owned()
}

const AUTH: &str = "Authorization: Bearer demo\r\n";

#[test]
fn edge_malformed() {
    let fleet = Plan::new(1, 1).without_config().start();
    let addr = fleet.entries[0].listen;
    let long = format!(
        "GET / HTTP/1.1\r\nHost: a\r\nX: {}\r\n\r\n",
        "y".repeat(9000)
    );
    let many = format!(
        "GET / HTTP/1.1\r\nHost: a\r\n{}\r\n",
        "X: y\r\n".repeat(150)
    );
    let cases: Vec<(&str, Vec<u8>, &str)> = vec![
        ("no http", b"what\r\n\r\n".to_vec(), "400"),
        ("old version", b"GET / HTTP/1.0\r\nHost: a\r\n\r\n".to_vec(), "400"),
        ("no host", b"GET / HTTP/1.1\r\n\r\n".to_vec(), "400"),
        ("two hosts", b"GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n".to_vec(), "400"),
        (
            "two lengths",
            b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab".to_vec(),
            "400",
        ),
        (
            "bad length",
            b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n".to_vec(),
            "400",
        ),
        (
            "plus length",
            b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: +1\r\n\r\na".to_vec(),
            "400",
        ),
        (
            "length and chunks",
            b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
                .to_vec(),
            "400",
        ),
        (
            "other coding",
            b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip, chunked\r\n\r\n".to_vec(),
            "400",
        ),
        (
            "bad chunk",
            format!("POST /s/route/x HTTP/1.1\r\nHost: a\r\n{AUTH}Transfer-Encoding: chunked\r\n\r\nzz\r\n")
                .into_bytes(),
            "400",
        ),
        ("beyond ascii", b"GET / HTTP/1.1\r\nHost: a\r\nX: \xc3\xa9\r\n\r\n".to_vec(), "400"),
        ("bad host", b"GET / HTTP/1.1\r\nHost: a b<>\r\n\r\n".to_vec(), "400"),
        ("bad method", b"FROB / HTTP/1.1\r\nHost: a\r\n\r\n".to_vec(), "400"),
        ("long head", long.into_bytes(), "431"),
        ("many headers", many.into_bytes(), "431"),
        (
            "large body",
            format!("POST /s/route/x HTTP/1.1\r\nHost: a\r\n{AUTH}Content-Length: 99999999\r\n\r\n")
                .into_bytes(),
            "413",
        ),
    ];
    for (what, bytes, status) in cases {
        let got = send_raw(addr, &bytes);
        assert!(
            got.starts_with(&format!("HTTP/1.1 {status} ")),
            "{what}: {got:?}"
        );
        assert!(got.contains("application/problem+json"), "{what}: {got:?}");
        assert!(
            got.to_lowercase().contains("connection: close"),
            "{what}: {got:?}"
        );
    }
    assert_eq!(
        get("/s/route/x").to(addr).status,
        200,
        "the entry still serves"
    );
}

#[test]
fn edge_pipelined() {
    // Five requests arrive in one segment: each gets its own answer, in order.
    let fleet = Plan::new(1, 1).without_config().start();
    let mut bytes = String::new();
    for n in 0..5 {
        let close = if n == 4 { "Connection: close\r\n" } else { "" };
        bytes.push_str(&format!(
            "POST /s/route/x HTTP/1.1\r\nHost: a\r\n{AUTH}X-Mark: p{n}\r\n{close}Content-Length: 3\r\n\r\nabc"
        ));
    }
    let got = send_raw(fleet.entries[0].listen, bytes.as_bytes());
    let marks: Vec<usize> = (0..5)
        .map(|n| {
            got.find(&format!(" p{n} abc"))
                .expect("an answer with the mark")
        })
        .collect();
    assert!(marks.is_sorted(), "{got}");
}

#[test]
fn edge_chunked_then_more() {
    // Only the codec knows where a chunked request ends, so bytes after it must not be parsed as another request.
    let fleet = Plan::new(1, 1).without_config().start();
    let bytes = format!(
        "POST /s/route/x HTTP/1.1\r\nHost: a\r\n{AUTH}Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n\
         GET /s/route/smuggled HTTP/1.1\r\nHost: a\r\n{AUTH}X-Mark: smuggled\r\n\r\n"
    );
    let got = send_raw(fleet.entries[0].listen, bytes.as_bytes());
    // The codec reads the following bytes as a malformed trailer and refuses the request.
    assert!(got.starts_with("HTTP/1.1 400 "), "{got}");
    assert_eq!(got.matches("HTTP/1.1 ").count(), 1, "{got}");
    assert!(got.to_lowercase().contains("connection: close"), "{got}");
    assert_eq!(fleet.backends[0].runs().len(), 0);
}

#[test]
fn edge_trailers() {
    let fleet = Plan::new(1, 1).without_config().start();
    let addr = fleet.entries[0].listen;
    let head = format!(
        "POST /s/route/x HTTP/1.1\r\nHost: a\r\n{AUTH}Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n"
    );
    // The codec panics on this trailer. Eight such requests are more than the entry has threads.
    for _ in 0..8 {
        let mut bytes = head.clone().into_bytes();
        bytes.extend_from_slice(b"X-T: \xc3\xa9\r\n\r\n");
        let got = send_raw(addr, &bytes);
        assert!(got.starts_with("HTTP/1.1 400 "), "{got:?}");
    }
    // The codec is not woken for the rest of a trailer that arrives in pieces, so the entry must poll it again.
    let mut stream = TcpStream::connect(addr).expect("a connection");
    stream.write_all(head.as_bytes()).expect("sent");
    stream.write_all(b"X-T: ").expect("sent");
    std::thread::sleep(Duration::from_millis(300));
    stream.write_all(b"t\r\n\r\n").expect("sent");
    let mut got = String::new();
    let _ = stream.read_to_string(&mut got);
    assert!(got.starts_with("HTTP/1.1 200 "), "{got:?}");
    assert!(got.ends_with(" - abc"), "{got:?}");
}

/// A request head that never ends must be answered with 408 and must not keep its connection open for ever.
#[test]
fn edge_slow() {
    let fleet = Plan::new(1, 1).without_config().start();
    let mut stream = TcpStream::connect(fleet.entries[0].listen).expect("a connection");
    stream
        .set_read_timeout(Some(Duration::from_secs(30)))
        .expect("a timeout");
    stream.write_all(b"GET / HTTP/1.1\r\nHo").expect("sent");
    let mut got = String::new();
    let _ = stream.read_to_string(&mut got);
    assert!(got.starts_with("HTTP/1.1 408 "), "{got:?}");
}

#[test]
fn edge_continue() {
    let fleet = Plan::new(1, 1).without_config().start();
    let mut stream = TcpStream::connect(fleet.entries[0].listen).expect("a connection");
    let head = format!(
        "POST /s/route/x HTTP/1.1\r\nHost: a\r\n{AUTH}Expect: 100-continue\r\nConnection: close\r\nContent-Length: 3\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).expect("sent");
    let mut buf = [0u8; 25];
    stream.read_exact(&mut buf).expect("the interim answer");
    assert_eq!(&buf, b"HTTP/1.1 100 Continue\r\n\r\n");
    stream.write_all(b"abc").expect("sent");
    let mut got = String::new();
    let _ = stream.read_to_string(&mut got);
    assert!(got.starts_with("HTTP/1.1 200 "), "{got:?}");
    assert!(got.ends_with(" - abc"), "{got:?}");
}

#[test]
fn edge_refusals() {
    let fleet = Plan::new(4, 1).start();
    let addr = fleet.entries[0].listen;
    let cases = [
        (get("/s/nowhere/x"), 404, "unknown-service"),
        (get("/else"), 404, "unknown-path"),
        (
            get("/s/route/x").with("authorization", ""),
            401,
            "unauthorized",
        ),
        (
            get("/s/route/x").with("authorization", "Bearer wrong"),
            401,
            "unauthorized",
        ),
        (
            get("/s/route/x").with("authorization", "Basic demo"),
            401,
            "unauthorized",
        ),
        (
            get("/s/route/x").with("rockwick-class", "soon"),
            400,
            "bad-request",
        ),
        (
            get("/s/route/x").with("rockwick-deadline-ms", "soon"),
            400,
            "bad-request",
        ),
        (get("/jobs/none"), 404, "unknown-job"),
        (post("/jobs", "{"), 400, "bad-request"),
        (
            post("/s/route/x", "b").with("idempotency-key", "k".repeat(300)),
            400,
            "bad-request",
        ),
    ];
    for (call, status, kind) in cases {
        let path = call.path.to_string();
        let answer = call.to(addr);
        assert_eq!(answer.status, status, "{path}");
        let problem = body_json(&answer);
        assert_eq!(problem["type"], format!("/problems/{kind}"), "{path}");
        assert_eq!(answer.header("rockwick-run"), Some("no"), "{path}");
    }
    assert_eq!(fleet.backends[0].runs().len(), 0);
}

#[test]
fn edge_operators_token() {
    let hash = "2a97516c354b68848cdbd8f54a226a0a55b21ed138e207ad6c5cbb9c00aa5aea";
    let fleet = Plan::new(1, 1)
        .without_config()
        .with_entry_args(&["--operator-token-sha256", hash])
        .start();
    let admin = fleet.entries[0].admin;
    assert_eq!(
        get("/v1/status")
            .with("authorization", "Bearer no")
            .to(admin)
            .status,
        401
    );
    assert_eq!(get("/v1/status").to(admin).status, 200);
    assert_eq!(
        get("/healthz").with("authorization", "").to(admin).status,
        200
    );
}
