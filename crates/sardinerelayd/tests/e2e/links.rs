//! Faults on the links between availability zones.

use {
    crate::{
        client,
        harness::{Cluster, Process, free_address, start_standin},
    },
    http::Method,
    serde_json::json,
    std::{collections::BTreeMap, net::SocketAddr},
};

/// The links between availability zones. All of them lead through one fault-injecting proxy, which
/// ends with this value.
#[derive(Debug)]
pub struct ZoneLinks {
    proxy: Process,
}

impl ZoneLinks {
    /// Starts the proxy and routes every link between hosts of different availability zones through
    /// it. The cluster must not be started yet.
    pub fn install(cluster: &mut Cluster, voters: u64) -> Self {
        let mut listens: BTreeMap<(u64, u64), SocketAddr> = BTreeMap::new();
        let mut arguments = vec!["proxy".to_owned()];
        for from in &cluster.hosts {
            for to in cluster.hosts.iter().filter(|to| to.zone != from.zone) {
                let listen = free_address();
                listens.insert((from.id, to.id), listen);
                arguments.push("--route".to_owned());
                let name = format!("{}-{}", from.id, to.id);
                arguments.push(format!(
                    "{listen}={},name={name},group={},group={}",
                    to.peer, from.zone, to.zone
                ));
            }
        }
        let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
        let proxy = start_standin(&arguments);
        cluster.set_peer_addresses(
            &|from, to| listens.get(&(from.id, to.id)).copied().unwrap_or(to.peer),
            voters,
        );
        Self { proxy }
    }

    /// Sets a fault, such as `cut` or `black_hole`, on every link to and from an availability zone.
    pub async fn inject_fault(&self, zone: &str, mode: &str) {
        let body = json!({ "mode": mode }).to_string();
        let headers = [("content-type", "application/json")];
        let path = format!("/v1/faults/{zone}");
        let (status, text) =
            client::send(self.proxy.address, Method::PUT, &path, &headers, &body).await;
        assert!((200..300).contains(&status), "{status} {text}");
    }

    /// Removes the faults from every link to and from an availability zone.
    pub async fn heal(&self, zone: &str) {
        let path = format!("/v1/faults/{zone}");
        let (status, text) = client::send(self.proxy.address, Method::DELETE, &path, &[], "").await;
        assert!((200..300).contains(&status), "{status} {text}");
    }
}
