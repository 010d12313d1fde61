use {
    std::{
        io::{Read, Write},
        net::{SocketAddr, TcpListener},
        process::Command,
        thread,
    },
    tempfile::tempdir,
};

/// Starts a server that answers every request with the answer to a different prompt.
fn crossing_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
    let address = listener.local_addr().expect("address");
    let events = "id: g.0\ndata: {\"id\":\"g\",\"choices\":[{\"text\":\"00000000.0 \"}]}\n\n";
    let answer = format!(
        "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-type: text/event-stream\r\ncontent-length: {}\r\n\r\n{events}",
        events.len()
    );
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.expect("connection");
            let answer = answer.clone();
            thread::spawn(move || {
                let _ = stream.read(&mut [0; 65_536]);
                let _ = stream.write_all(answer.as_bytes());
            });
        }
    });
    address
}

/// Guards against a program that exits with success although answers were crossed, or that does not
/// write its reports.
#[test]
fn violations_set_the_exit_code() {
    let folder = tempdir().expect("folder");
    let (json, svg) = (folder.path().join("r.json"), folder.path().join("r.svg"));
    let keys = folder.path().join("keys");
    std::fs::write(&keys, "# comment\nlakes key-1\nakl key-2\n").expect("write");
    let output = Command::new(env!("CARGO_BIN_EXE_sardineload"))
        .args(["--server", &crossing_server().to_string()])
        .args(["--rate", "20", "--duration", "1s", "--plain-share", "0"])
        .arg("--key")
        .arg(&keys)
        .arg("--json")
        .arg(&json)
        .arg("--svg")
        .arg(&svg)
        .output()
        .expect("run");
    assert_eq!(output.status.code(), Some(3), "{output:?}");
    let text = String::from_utf8(output.stdout).expect("text");
    assert!(text.contains("Crossed") && text.contains("lakes"), "{text}");
    let report = std::fs::read_to_string(json).expect("json");
    assert!(report.contains("\"crossed\""), "{report}");
    assert!(
        std::fs::read_to_string(svg)
            .expect("svg")
            .ends_with("</svg>\n")
    );
}

/// Guards against invalid settings that are only noticed during the run.
#[test]
fn wrong_settings_are_refused() {
    for arguments in [
        ["--rate", "0"],
        ["--leave-share", "2"],
        ["--key", "/nonexistent"],
    ] {
        let output = Command::new(env!("CARGO_BIN_EXE_sardineload"))
            .args(["--server", "127.0.0.1:9"])
            .args(arguments)
            .output()
            .expect("run");
        assert_eq!(output.status.code(), Some(1));
        let message = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(
            message.contains(arguments[0]) || message.contains(arguments[1]),
            "{message}"
        );
    }
}
