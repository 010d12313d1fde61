//! The members of the consensus group, and the replacement of a voter.

use {
    super::{Answer, Desk},
    crate::control::{Error, MemberError},
    jsonrpsee::types::ErrorObjectOwned,
    sardinerelay::operator::{ErrorCode, ReplaceProgress, ReplaceRequest, Voters},
    std::time::Duration,
};

/// Time in which the leader has to answer. Finding it and asking it take it twice at most, which
/// is below the deadline of `sardinectl`.
const LEADER: Duration = Duration::from_secs(2);

impl Desk {
    /// The members, as the leader knows them.
    pub(super) async fn voters(&self) -> Answer<Voters> {
        self.control.voters(LEADER).await.map_err(refuse)
    }

    /// Has the leader take the next step of a replacement.
    pub(super) async fn replace(&self, request: ReplaceRequest) -> Answer<ReplaceProgress> {
        self.control.replace(request, LEADER).await.map_err(refuse)
    }
}

fn refuse(error: MemberError) -> ErrorObjectOwned {
    let code = match &error {
        MemberError::NoLeader { .. } => ErrorCode::NoQuorum,
        MemberError::Refused(_) => ErrorCode::MembershipRefused,
        MemberError::Lost { .. } | MemberError::Control(Error::Ended) => ErrorCode::OutcomeUnknown,
        MemberError::Control(_) => ErrorCode::Internal,
    };
    ErrorObjectOwned::owned(code.number(), error.to_string(), None::<()>)
}
