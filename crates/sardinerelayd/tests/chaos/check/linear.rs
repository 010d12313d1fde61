//! Checks operations for linearizability.

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

/// An operation with its result.
#[derive(Debug, Clone)]
pub struct Operation<T> {
    /// The operation and its result, in the terms of the specification.
    pub action: T,
    /// When it was called and answered.
    pub span: Span,
    /// Whether the result is unknown. The operation may take effect at any time after its call, or
    /// never.
    pub is_pending: bool,
}

/// Whether some sequential order explains all operations and respects their times.
///
/// A pending operation counts as ended after all others. It may then take effect after the last
/// observation, which can't be told from no effect.
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
    // At equal times, calls come before responses, so that the operations count as concurrent.
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
