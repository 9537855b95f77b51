//! No parser of requests, answers, rows, peer messages or configurations panics on arbitrary input.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

use proptest::collection::vec;
use proptest::prelude::*;
use rockwick::core::config;
use rockwick::core::members::Digest;
use rockwick::http::client::deadline_after_ms;
use rockwick::http::server::{self, Arrival};
use rockwick::http::{Client, Limits, Wire};
use rockwick::port::{Changes, Down, Http, Table};
use rockwick::wire::{decode, encode, PeerReply, PeerRequest};
use smol::Async;

use crate::fleet::CONFIG;

fn config_with_cases(n: u32) -> ProptestConfig {
    ProptestConfig {
        cases: n,
        rng_seed: prop::test_runner::RngSeed::Fixed(20_261_202),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// Returns pieces from which nearly valid HTTP messages are assembled.
fn http_piece() -> impl Strategy<Value = Vec<u8>> {
    prop_oneof![
        Just(b"GET /s/route/x HTTP/1.1\r\n".to_vec()),
        Just(b"POST / HTTP/1.1\r\n".to_vec()),
        Just(b"HTTP/1.1 200 OK\r\n".to_vec()),
        Just(b"Host: a\r\n".to_vec()),
        Just(b"Content-Length: 5\r\n".to_vec()),
        Just(b"Transfer-Encoding: chunked\r\n".to_vec()),
        Just(b"Connection: close\r\n".to_vec()),
        Just(b"\r\n".to_vec()),
        Just(b"5\r\nabcde\r\n0\r\n\r\n".to_vec()),
        Just(b"X: \xc3\xa9\r\n".to_vec()),
        vec(any::<u8>(), 0..20),
    ]
}

fn http_message() -> impl Strategy<Value = Vec<u8>> {
    vec(http_piece(), 0..10).prop_map(|pieces| pieces.concat())
}

/// Returns the server's end of a connection whose peer sent `bytes` and closed.
fn connection(bytes: &[u8]) -> Async<TcpStream> {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = listener.local_addr().expect("an address");
    let mut peer = TcpStream::connect(addr).expect("a connection");
    let (stream, _) = listener.accept().expect("accepted");
    let _ = peer.write_all(bytes);
    Async::new(stream).expect("a stream")
}

proptest! {
    #![proptest_config(config_with_cases(300))]

    #[test]
    fn fuzz_requests(bytes in http_message()) {
        let limits = Limits { idle_ms: 200, receive_ms: 200, body_bytes: 1_000 };
        let wire = Wire::for_requests(connection(&bytes));
        smol::block_on(async {
            for _ in 0..3 {
                if !matches!(server::read_request(&wire, limits, || false).await, Arrival::Request(_)) {
                    break;
                }
            }
        });
    }

    #[test]
    fn fuzz_answers(bytes in http_message()) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let client = Client::new(listener.local_addr().expect("an address"));
        std::thread::scope(|s| {
            s.spawn(|| {
                let (mut stream, _) = listener.accept().expect("accepted");
                let _ = stream.set_read_timeout(Some(Duration::from_millis(200)));
                let _ = stream.read(&mut [0u8; 1024]);
                let _ = stream.write_all(&bytes);
            });
            let req = client.request(http_types::Method::Get, "/").expect("a request");
            let _ = smol::block_on(client.exchange(req, deadline_after_ms(200)));
        });
    }

    #[test]
    fn fuzz_platform(body in prop_oneof![
        "[{\\[\"seqrowsmore:,0-9\\]}]{0,60}",
        Just("{\"seq\":1,\"rows\":[{\"key\":\"host/h\",\"version\":1,\"value\":\"{}\"}],\"more\":false}".to_string()),
    ]) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let platform = Http::new(listener.local_addr().expect("an address"), "e1");
        let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len());
        std::thread::scope(|s| {
            s.spawn(|| {
                let (mut stream, _) = listener.accept().expect("accepted");
                let _ = stream.set_read_timeout(Some(Duration::from_millis(200)));
                let _ = stream.read(&mut [0u8; 1024]);
                let _ = stream.write_all(answer.as_bytes());
            });
            let read: Result<Changes, Down> = smol::block_on(platform.changes(0, &["host"]));
            if let Ok(changes) = read {
                let mut state = crate::test_model::empty_state();
                state.apply_rows(changes.rows, changes.seq, 0, &mut Vec::new());
            }
        });
    }
}

proptest! {
    #![proptest_config(config_with_cases(3_000))]

    #[test]
    fn fuzz_peers(bytes in vec(any::<u8>(), 0..200)) {
        let _: Option<PeerRequest> = decode(&bytes);
        let _: Option<PeerReply> = decode(&bytes);
    }

    #[test]
    fn fuzz_peers_cut(name in ".{0,20}", seq in any::<u64>(), cut in 0usize..60) {
        let digest = Digest { name, incarnation: 7, ..Digest::default() };
        let request = PeerRequest::Poll { digest, since: seq };
        let bytes = encode(&request).expect("encodes");
        prop_assert_eq!(decode::<PeerRequest>(&bytes), Some(request));
        let cut = cut.min(bytes.len());
        prop_assert_eq!(decode::<PeerRequest>(&bytes[..bytes.len() - cut]).is_some(), cut == 0);
    }

    #[test]
    fn fuzz_templates(at in 0usize..600, with in "[a-z\\[\\]\"=\n0-9 ]{0,8}", drop in 0usize..20) {
        let mut text = CONFIG.to_string();
        let at = at.min(text.len() - 1);
        let end = (at + drop).min(text.len());
        if text.is_char_boundary(at) && text.is_char_boundary(end) {
            text.replace_range(at..end, &with);
        }
        if let Err(error) = config::parse(&text) {
            prop_assert!(!error.reason.is_empty());
        }
    }
}
