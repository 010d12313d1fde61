use {
    super::{call, get},
    axum::http::StatusCode,
    rstest::rstest,
    std::{
        io::{BufRead, BufReader},
        net::SocketAddr,
        process::{Child, Command, Stdio},
    },
};

/// Child process that is killed when the test ends.
struct ChildGuard(Child);

impl Drop for ChildGuard {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Guards against a program that does not print its address, which tests that start it rely on, or
/// whose flags do not reach the stand-in.
#[rstest]
#[case(&["engine", "--fencing", "ignored"], "/v1/orders")]
#[case(&["service", "--delay-after", "1ms"], "/v1/record")]
#[case(&["hosts", "--lag", "0s"], "/v1/hosts")]
#[case(&["proxy", "--route", "127.0.0.1:0=127.0.0.1:9,name=a,group=z"], "/v1/routes")]
#[tokio::test]
async fn address_is_printed(#[case] arguments: &[&str], #[case] path: &str) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_sardinerelay-standin"))
        .args(arguments)
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()
        .map(ChildGuard)
        .expect("start");
    let stdout = child.0.stdout.take().expect("stdout");
    let mut line = String::new();
    BufReader::new(stdout).read_line(&mut line).expect("line");
    let address: SocketAddr = line
        .trim_end()
        .strip_prefix("listening on ")
        .expect("prefix")
        .parse()
        .expect("address");
    assert_eq!(call(address, "GET", path, "").await.0, StatusCode::OK);
    if arguments[0] == "engine" {
        let answer: serde_json::Value = get(address, path).await;
        assert_eq!(answer["fencing"], "ignored");
    }
}
