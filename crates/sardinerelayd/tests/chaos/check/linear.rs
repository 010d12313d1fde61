//! Histories for the linearizability checker.

use {
    crate::history::Span,
    todc_utils::{
        linearizability::{
            WGLChecker,
            history::{Action, History},
        },
        specifications::Specification,
    },
};

/// One operation with its result.
#[derive(Debug, Clone)]
pub struct Operation<T> {
    /// The operation as its specification takes it.
    pub action: T,
    /// When it was called and answered.
    pub span: Span,
    /// Whether its effect is unknown: it may take effect at any time after its call, or never.
    pub is_pending: bool,
}

/// Whether the operations fit some order that respects their times.
///
/// An open operation ends after all others. It can thus take effect after the last observation,
/// which nobody can tell from no effect.
pub fn is_linearizable<S>(operations: &[Operation<S::Operation>]) -> bool
where
    S: Specification,
{
    let mut events = Vec::with_capacity(operations.len() * 2);
    for (id, operation) in operations.iter().enumerate() {
        let end = match operation.is_pending {
            true => u64::MAX,
            false => operation.span.end,
        };
        events.push((operation.span.begin, 0, id));
        events.push((end, 1, id));
    }
    // At equal times, calls come first: the operations then count as concurrent.
    events.sort_unstable();
    let actions = events.into_iter().map(|(_, response, id)| {
        let action = operations[id].action.clone();
        match response {
            0 => (id, Action::Call(action)),
            _ => (id, Action::Response(action)),
        }
    });
    let actions: Vec<_> = actions.collect();
    actions.is_empty() || WGLChecker::<S>::is_linearizable(History::from_actions(actions))
}
