use {
    super::{bind, call, eventually, get},
    axum::http::StatusCode,
    sardinerelay_standin::hosts::{List, ListResponse, MemberState, serve},
    std::time::Duration,
    tokio_util::sync::CancellationToken,
};

/// Guards against changes that become visible before the lag, never, or out of order.
#[tokio::test]
async fn changes_show_after_the_lag() {
    let (listener, address) = bind().await;
    let lag = Duration::from_secs(1);
    tokio::spawn(serve(
        List::default(),
        lag,
        listener,
        CancellationToken::new(),
    ));
    let list = || get::<ListResponse>(address, "/v1/hosts");
    let member = |state| {
        format!(
            r#"{{"address":"127.0.0.1:9","zone":"lakes-a","incarnation":"i1","state":"{state}"}}"#
        )
    };
    let (status, _) = call(address, "PUT", "/v1/targets/e1", &member("live")).await;
    assert_eq!(status, StatusCode::NO_CONTENT);
    call(address, "PUT", "/v1/hosts/h1", &member("live")).await;
    assert!(list().await.targets.is_empty());
    eventually(|| async { list().await.hosts.contains_key("h1") }).await;
    assert_eq!(list().await.targets["e1"].state, MemberState::Live);
    call(address, "PUT", "/v1/targets/e1", &member("leaving")).await;
    assert_eq!(list().await.targets["e1"].state, MemberState::Live);
    eventually(|| async { list().await.targets["e1"].state == MemberState::Leaving }).await;
    let (status, _) = call(address, "DELETE", "/v1/targets/e2", "").await;
    assert_eq!(status, StatusCode::NOT_FOUND);
    call(address, "DELETE", "/v1/targets/e1", "").await;
    eventually(|| async { list().await.targets.is_empty() }).await;
    assert!(list().await.hosts.contains_key("h1"));
}
