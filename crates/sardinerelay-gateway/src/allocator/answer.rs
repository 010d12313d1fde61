//! A reply of the allocator as a message between hosts.

use {
    super::Reply,
    crate::observations::{Builds, or_default},
    serde::{Deserialize, Serialize},
};

/// A reply as it is sent to another host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    reply: Reply,
    /// The builds of the described engines. Hosts of earlier versions don't send them.
    #[serde(deserialize_with = "or_default")]
    builds: Builds,
}

impl From<Reply> for Answer {
    fn from(reply: Reply) -> Self {
        let builds = match &reply {
            Reply::Placed(_, instances) => Builds::of(instances),
            Reply::Refused(..) | Reply::Waiting => Builds::default(),
        };
        Self { reply, builds }
    }
}

impl From<Answer> for Reply {
    fn from(Answer { mut reply, builds }: Answer) -> Self {
        if let Self::Placed(_, instances) = &mut reply {
            builds.assign(instances);
        }
        reply
    }
}
