//! The methods that other hosts call.

use {
    super::{
        creation_check::{self, STANDING},
        distribution,
        leader::{confirm_here, propose_here},
        local_view::Board,
        members::{REPLACE, VOTERS, list_here, replace_here},
        message::{CONFIRM, Confirm, HEALTH, Health, Input, PROPOSE, PULL, Propose, Pull},
        report::{REPORT, Slot},
    },
    crate::peer::{NotificationHandler, Packed, STEP, SharedCounters, Step},
    jsonrpsee::{RpcModule, core::RegisterMethodError, types::ErrorObjectOwned},
    log::{debug, warn},
    sardinerelay::id::Host,
    std::{sync::Arc, time::Duration},
    tokio::sync::mpsc::Sender,
};

/// The longest time that a call may wait for a commit.
const LONGEST_WAIT: Duration = Duration::from_secs(30);

/// What the methods work on.
#[derive(Debug)]
pub(super) struct Context {
    pub(super) host: Host,
    pub(super) local: Option<Sender<Input>>,
    pub(super) board: Arc<Board>,
    pub(super) poll: Duration,
    pub(super) counters: SharedCounters,
    pub(super) reporter: Slot,
}

type Answer<T> = Result<T, ErrorObjectOwned>;

/// The methods.
pub(super) fn methods(context: Context) -> Result<RpcModule<Context>, RegisterMethodError> {
    let mut module = RpcModule::new(context);
    module.register_async_method(PROPOSE, |parameters, context, _| async move {
        let Propose { entry, wait_ms } = context.counters.parse_call(&parameters)?;
        let outcome = propose_here(context.local.as_ref(), entry.0, wait(wait_ms)).await;
        context.counters.count_sent();
        Answer::Ok(Packed(outcome))
    })?;
    module.register_async_method(CONFIRM, |parameters, context, _| async move {
        let Confirm { wait_ms } = context.counters.parse_call(&parameters)?;
        let outcome = confirm_here(context.local.as_ref(), wait(wait_ms)).await;
        context.counters.count_sent();
        Answer::Ok(Packed(outcome))
    })?;
    module.register_async_method(PULL, |parameters, context, _| async move {
        let pull: Pull = context.counters.parse_call(&parameters)?;
        let pulled = distribution::serve(&context.board, pull, context.poll).await;
        context.counters.count_sent();
        Answer::Ok(pulled)
    })?;
    module.register_async_method(HEALTH, |_, context, _| async move {
        context.counters.count_received();
        context.counters.count_sent();
        Answer::Ok(Health {
            host: context.host,
            version: context.board.view().version,
            cut_off: context.board.is_cut_off(),
        })
    })?;
    module.register_async_method(REPORT, |_, context, _| async move {
        context.counters.count_received();
        let report = context.reporter.report().await;
        context.counters.count_sent();
        Answer::Ok(report)
    })?;
    module.register_async_method(VOTERS, |_, context, _| async move {
        context.counters.count_received();
        let voters = list_here(context.local.as_ref()).await;
        context.counters.count_sent();
        Answer::Ok(voters)
    })?;
    module.register_async_method(REPLACE, |parameters, context, _| async move {
        let request = context.counters.parse_call(&parameters)?;
        let answer = replace_here(context.local.as_ref(), request).await;
        context.counters.count_sent();
        Answer::Ok(answer)
    })?;
    module.register_async_method(STANDING, |parameters, context, _| async move {
        let host: Host = context.counters.parse_call(&parameters)?;
        let standing = creation_check::standing(context.local.as_ref(), &context.board, host).await;
        context.counters.count_sent();
        Answer::Ok(standing)
    })?;
    Ok(module)
}

/// Hands messages to the replica. They are dropped while its queue is full, as on a lossy link.
pub(super) fn receiver(
    host: Host,
    local: Option<Sender<Input>>,
    counters: SharedCounters,
) -> NotificationHandler {
    NotificationHandler::new(move |method, parameters| {
        counters.count_received();
        if method != STEP {
            return;
        }
        match serde_json::from_str::<(Step,)>(parameters) {
            Ok((Step { from, to, .. },)) if to != host => {
                debug!("messages from host {from} are for host {to}, which ran here before");
            }
            Ok((Step { from, messages, .. },)) => {
                let input = Input::Step(from, messages.0);
                if let Some(Err(_)) = local.as_ref().map(|local| local.try_send(input)) {
                    debug!("messages from host {from} are dropped");
                }
            }
            Err(error) => warn!("messages of another host can't be read: {error}"),
        }
    })
}

fn wait(wait_ms: u64) -> Duration {
    Duration::from_millis(wait_ms).min(LONGEST_WAIT)
}
