//! RPC methods that other hosts call.

use {
    super::{
        creation_check::{self, HOST_RECORD},
        distribution,
        leader::{confirm_locally, propose_locally},
        local_view::LocalView,
        members::{REPLACE, VOTERS, list_locally, replace_locally},
        message::{
            CONFIRM, ConfirmRequest, HEALTH, Health, Input, PROPOSE, PULL, ProposeRequest,
            PullRequest,
        },
        report::{REPORT, Slot},
    },
    crate::peer::{NotificationHandler, Packed, STEP, SharedCounters, Step},
    jsonrpsee::{RpcModule, core::RegisterMethodError, types::ErrorObjectOwned},
    log::{debug, warn},
    sardinerelay::id::Host,
    std::{sync::Arc, time::Duration},
    tokio::sync::mpsc::Sender,
};

/// Longest time that a call may wait for a commit, whatever the caller asks for.
const MAX_COMMIT_WAIT: Duration = Duration::from_secs(30);

/// State that the methods use.
#[derive(Debug)]
pub(super) struct Context {
    pub(super) host: Host,
    /// Input channel of this host's replica, if it has one.
    pub(super) replica: Option<Sender<Input>>,
    pub(super) local_view: Arc<LocalView>,
    /// Longest time that a pull may wait for a change.
    pub(super) poll_timeout: Duration,
    pub(super) counters: SharedCounters,
    pub(super) reporter: Slot,
}

type RpcResult<T> = Result<T, ErrorObjectOwned>;

/// Builds the module of all methods.
///
/// # Errors
///
/// If two methods have the same name.
pub(super) fn methods(context: Context) -> Result<RpcModule<Context>, RegisterMethodError> {
    let mut module = RpcModule::new(context);
    module.register_async_method(PROPOSE, |parameters, context, _| async move {
        let ProposeRequest { entry, wait_ms } = context.counters.parse_call(&parameters)?;
        let outcome =
            propose_locally(context.replica.as_ref(), entry.0, capped_wait(wait_ms)).await;
        context.counters.count_sent();
        RpcResult::Ok(Packed(outcome))
    })?;
    module.register_async_method(CONFIRM, |parameters, context, _| async move {
        let ConfirmRequest { wait_ms } = context.counters.parse_call(&parameters)?;
        let outcome = confirm_locally(context.replica.as_ref(), capped_wait(wait_ms)).await;
        context.counters.count_sent();
        RpcResult::Ok(Packed(outcome))
    })?;
    module.register_async_method(PULL, |parameters, context, _| async move {
        let pull: PullRequest = context.counters.parse_call(&parameters)?;
        let response =
            distribution::answer_pull(&context.local_view, pull, context.poll_timeout).await;
        context.counters.count_sent();
        RpcResult::Ok(response)
    })?;
    module.register_async_method(HEALTH, |_, context, _| async move {
        context.counters.count_received();
        context.counters.count_sent();
        RpcResult::Ok(Health {
            host: context.host,
            version: context.local_view.view().version,
            cut_off: context.local_view.is_cut_off(),
        })
    })?;
    module.register_async_method(REPORT, |_, context, _| async move {
        context.counters.count_received();
        let report = context.reporter.report().await;
        context.counters.count_sent();
        RpcResult::Ok(report)
    })?;
    module.register_async_method(VOTERS, |_, context, _| async move {
        context.counters.count_received();
        let voters = list_locally(context.replica.as_ref()).await;
        context.counters.count_sent();
        RpcResult::Ok(voters)
    })?;
    module.register_async_method(REPLACE, |parameters, context, _| async move {
        let request = context.counters.parse_call(&parameters)?;
        let answer = replace_locally(context.replica.as_ref(), request).await;
        context.counters.count_sent();
        RpcResult::Ok(answer)
    })?;
    module.register_async_method(HOST_RECORD, |parameters, context, _| async move {
        let host: Host = context.counters.parse_call(&parameters)?;
        let record =
            creation_check::record(context.replica.as_ref(), &context.local_view, host).await;
        context.counters.count_sent();
        RpcResult::Ok(record)
    })?;
    Ok(module)
}

/// Passes consensus messages to the replica. They are dropped while its input queue is full, since
/// the consensus tolerates lost messages.
pub(super) fn notification_handler(
    host: Host,
    replica: Option<Sender<Input>>,
    counters: SharedCounters,
) -> NotificationHandler {
    NotificationHandler::new(move |method, parameters| {
        counters.count_received();
        if method != STEP {
            return;
        }
        match serde_json::from_str::<(Step,)>(parameters) {
            Ok((Step { from, to, .. },)) if to != host => {
                debug!(
                    "dropping messages from host {from} for host {to}, which used this address before"
                );
            }
            Ok((Step { from, messages, .. },)) => {
                let input = Input::Step(from, messages.0);
                if let Some(Err(_)) = replica.as_ref().map(|replica| replica.try_send(input)) {
                    debug!("dropping messages from host {from}: the input queue is full");
                }
            }
            Err(error) => warn!("can't decode messages of another host: {error}"),
        }
    })
}

fn capped_wait(wait_ms: u64) -> Duration {
    Duration::from_millis(wait_ms).min(MAX_COMMIT_WAIT)
}
