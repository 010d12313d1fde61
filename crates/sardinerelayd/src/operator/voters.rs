//! The members of the consensus group, and the replacement of a voter.

use {
    super::{Answer, Context},
    crate::control::{Error, MembershipError},
    jsonrpsee::types::ErrorObjectOwned,
    sardinerelay::operator::{ErrorCode, ReplaceProgress, ReplaceRequest, Voters},
    std::time::Duration,
};

/// Time in which the leader has to answer. Finding it and asking it take it twice at most, which
/// is below the deadline of `sardinectl`.
const LEADER: Duration = Duration::from_secs(2);

impl Context {
    /// The members, as the leader knows them.
    pub(super) async fn voters(&self) -> Answer<Voters> {
        self.control.voters(LEADER).await.map_err(refuse)
    }

    /// Has the leader take the next step of a replacement.
    pub(super) async fn replace(&self, request: ReplaceRequest) -> Answer<ReplaceProgress> {
        self.control.replace(request, LEADER).await.map_err(refuse)
    }
}

fn refuse(error: MembershipError) -> ErrorObjectOwned {
    let code = match &error {
        MembershipError::NoLeader { .. } => ErrorCode::NoQuorum,
        MembershipError::Refused(_) => ErrorCode::MembershipRefused,
        MembershipError::NoAnswer { .. } | MembershipError::Control(Error::Ended) => {
            ErrorCode::OutcomeUnknown
        }
        MembershipError::Control(_) => ErrorCode::Internal,
    };
    ErrorObjectOwned::owned(code.number(), error.to_string(), None::<()>)
}
