//! The output of `grebeusher-tier show`, by valid and invalid answers of a node.

use grebeusher_tier::batch::api::BATCH_PARTITIONS;
use grebeusher_tier::runtime::show::{ShowError, fetch_status};
use rstest::rstest;
use std::io::{Read, Write};
use std::net::{SocketAddr, SocketAddrV4, TcpListener};
use std::thread::JoinHandle;

/// Starts a server that gives one answer to each request and then stops. Returns its address and a handle that returns the
/// requested paths.
fn serve(answers: Vec<String>) -> (SocketAddrV4, JoinHandle<Vec<String>>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let SocketAddr::V4(address) = listener.local_addr().expect("an address") else { unreachable!("IPv4") };
    let requested_paths = std::thread::spawn(move || {
        let answer_one = |answer: String| {
            let (mut stream, _) = listener.accept().expect("a connection");
            let mut request = Vec::new();
            while !request.ends_with(b"\r\n\r\n") {
                let mut byte = [0];
                stream.read_exact(&mut byte).expect("a whole request");
                request.push(byte[0]);
            }
            stream.write_all(answer.as_bytes()).expect("the answer is written");
            let request = String::from_utf8(request).expect("text");
            request.split(' ').nth(1).expect("a path").to_owned()
        };
        answers.into_iter().map(answer_one).collect()
    });
    (address, requested_paths)
}

fn answer(status: u16, body: &str) -> String {
    format!("HTTP/1.1 {status} Some\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

#[test]
fn a_node_and_the_leaders_of_all_partitions_are_shown() {
    // Given a node that knows the leaders of all partitions but the last
    let mut answers = vec![answer(200, "node edge-1\n")];
    answers
        .extend((0..BATCH_PARTITIONS).map(|partition| answer(200, &format!("part {partition} is well\n"))));
    answers.push(answer(503, ""));
    let (address, requested_paths) = serve(answers);
    // When its status is requested
    let status = fetch_status(address).expect("a status");
    // Then the output has each line, and names the partition without a leader
    let expected = "node edge-1\npart 0 is well\npart 1 is well\npart 2 is well\n\
                    part 3: no owner answers (status 503)\n";
    assert_eq!(status, expected);
    let paths = requested_paths.join().expect("the server has not panicked");
    let expected_paths = ["/api/status", "/api/status/0", "/api/status/1", "/api/status/2", "/api/status/3"];
    assert_eq!(paths, expected_paths);
}

#[rstest]
#[case::another_address_of_a_node(answer(404, ""))]
#[case::half_a_body("HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\nnode edge-1\n".to_owned())]
#[case::half_a_head("HTTP/1.1 200 OK\r\nContent-".to_owned())]
#[case::another_protocol("SSH-2.0-OpenSSH\r\n\r\n".to_owned())]
#[case::nothing(String::new())]
fn an_answer_that_is_not_a_status_is_an_error(#[case] answer: String) {
    // Given a server that gives this answer
    let (address, _) = serve(vec![answer]);
    // When its status is requested
    let status = fetch_status(address);
    // Then the error says that there is no status
    assert!(matches!(status, Err(ShowError::NoStatus { .. })), "{status:?}");
}

#[test]
fn the_error_has_the_address_of_a_node_that_does_not_listen() {
    // Given an address without a listener
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let SocketAddr::V4(address) = listener.local_addr().expect("an address") else { unreachable!("IPv4") };
    drop(listener);
    // When its status is requested
    let error = fetch_status(address).expect_err("no node answers");
    // Then the message begins with the address
    assert!(error.to_string().starts_with(&address.to_string()), "{error}");
}
