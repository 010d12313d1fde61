//! Checks of a configuration, and lookups in it.

use {
    rand::{SeedableRng as _, rngs::StdRng},
    rstest::rstest,
    sardinerelay_gateway::table::{
        Account, CheckError, Denial, Draft, Kind, Limits, Route, Service, Table,
    },
    std::time::Duration,
};

fn route(name: &str, prefix: &str) -> Route {
    Route {
        name: name.into(),
        host: "shop.example".into(),
        path_prefix: prefix.into(),
        kind: Kind::AtMostOnce,
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(150),
        max_event_gap: None,
        priority: 0,
        services: vec![("orders".into(), 1)],
        max_attempts: 1,
        is_public: false,
        homes: Default::default(),
    }
}

fn draft() -> Draft {
    Draft {
        version: 4,
        routes: vec![route("all", "/a/"), route("part", "/a/b/")],
        services: vec![Service {
            name: "orders".into(),
            max_connections: 10,
            engine: None,
            cold_rate: None,
            cold_start: None,
        }],
        organisations: Some(vec![
            Account {
                name: "north".into(),
                keys: vec!["n1".into(), "n2".into()],
                priority: Some(3),
                homes: Default::default(),
            },
            Account {
                name: "south".into(),
                keys: vec!["s1".into()],
                priority: None,
                homes: Default::default(),
            },
        ]),
        limits: Limits {
            max_header_bytes: 16_384,
            max_body_bytes: 4 << 20,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        },
    }
}

#[test]
fn the_longest_prefix_wins() {
    let table = Table::check(draft()).expect("valid draft");
    let name = |path| {
        table
            .route("shop.example", path)
            .map(|route| route.name.clone())
    };
    assert_eq!(name("/a/x"), Ok("all".into()));
    assert_eq!(name("/a/b/x"), Ok("part".into()));
    assert_eq!(name("/a/bc/x"), Ok("all".into()));
    assert_eq!(name("/b/"), Err(Denial::NoRoute));
    assert_eq!(
        table.route("other.example", "/a/").map(|_| ()),
        Err(Denial::NoRoute)
    );
}

#[test]
fn a_key_names_its_organisation_and_an_unknown_one_is_refused() {
    let table = Table::check(draft()).expect("valid draft");
    let route = table.route("shop.example", "/a/").expect("route");
    let organisation = |key| {
        table
            .authenticate(route, key)
            .map(|account| account.map(|account| &account.name))
    };
    assert_eq!(organisation(Some("n2")), Ok(Some(&"north".into())));
    assert_eq!(organisation(Some("s1")), Ok(Some(&"south".into())));
    assert_eq!(organisation(Some("x")), Err(Denial::UnknownKey));
    assert_eq!(organisation(None), Err(Denial::UnknownKey));
}

type Break = fn(&mut Draft);

#[rstest]
#[case::unknown_service(|draft: &mut Draft| draft.routes[0].services[0].0 = "none".into())]
#[case::duplicate_route(|draft: &mut Draft| draft.routes[1].path_prefix = "/a/".into())]
#[case::zero_weight(|draft: &mut Draft| draft.routes[0].services[0].1 = 0)]
#[case::zero_timeout(|draft: &mut Draft| draft.routes[1].timeout = Duration::ZERO)]
#[case::shared_key(|draft: &mut Draft| {
    if let Some(organisations) = &mut draft.organisations {
        organisations[1].keys.push("n1".into());
    }
})]
#[case::invalid_prefix(|draft: &mut Draft| draft.routes[1].path_prefix = "/a/b".into())]
#[case::duplicate_service(|draft: &mut Draft| {
    let duplicate = draft.services[0].clone();
    draft.services.push(duplicate);
})]
fn a_draft_with_an_error_is_refused(#[case] break_draft: Break) {
    let mut broken = draft();
    break_draft(&mut broken);
    let errors: Vec<CheckError> = Table::check(broken).expect_err("invalid draft");
    assert_eq!(errors.len(), 1, "{errors:?}");
    assert!(!errors[0].to_string().is_empty());
}

#[test]
fn an_organisation_may_list_a_key_twice() {
    let mut draft = draft();
    if let Some(organisations) = &mut draft.organisations {
        organisations[0].keys.push("n1".into());
    }
    assert!(Table::check(draft).is_ok());
}

#[test]
fn requests_are_split_by_weight() {
    let mut route = route("split", "/");
    route.services = vec![
        ("large".into(), 90),
        ("none".into(), 0),
        ("small".into(), 10),
    ];
    let mut rng = StdRng::seed_from_u64(1);
    let drawn: Vec<_> = (0..2_000)
        .filter_map(|_| route.draw_service(&mut rng))
        .collect();
    let count = |name: &str| drawn.iter().filter(|service| **service == name).count();
    assert_eq!(count("none"), 0);
    assert!((120..=280).contains(&count("small")), "{}", count("small"));
    assert_eq!(drawn.len(), 2_000);
}
