//! Lists the members of the consensus group, and replaces voters.

use {
    super::{Context, RpcResult},
    crate::control::{Error, MembershipError},
    jsonrpsee::types::ErrorObjectOwned,
    sardinerelay::operator::{ErrorCode, ReplaceProgress, ReplaceRequest, Voters},
    std::time::Duration,
};

/// Time to find the leader, and again for its answer. Both together stay below the timeout of
/// `sardinectl`.
const LEADER_TIMEOUT: Duration = Duration::from_secs(2);

impl Context {
    /// Lists the members, as the leader knows them.
    pub(super) async fn voters(&self) -> RpcResult<Voters> {
        self.control.voters(LEADER_TIMEOUT).await.map_err(rpc_error)
    }

    /// Asks the leader to take the next step of a replacement.
    pub(super) async fn replace(&self, request: ReplaceRequest) -> RpcResult<ReplaceProgress> {
        self.control
            .replace(request, LEADER_TIMEOUT)
            .await
            .map_err(rpc_error)
    }
}

fn rpc_error(error: MembershipError) -> ErrorObjectOwned {
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
