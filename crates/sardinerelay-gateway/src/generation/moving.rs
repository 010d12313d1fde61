//! Moves of one stream's generation off an engine that leaves.

use {
    super::{
        resumable,
        transfer::{self, Moved},
    },
    crate::{entry::Place, request::Job},
    futures::future::BoxFuture,
    sardinerelay::id::Target,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Pause before another move is tried where one failed.
const PAUSE: Duration = Duration::from_millis(100);

/// A move under way.
struct Task {
    result: BoxFuture<'static, Result<Moved, transfer::Failure>>,
    to: Target,
}

/// The moves of one stream on one engine.
pub(super) struct Mover {
    task: Option<Task>,
    /// Engines that had no room, or could not be reached.
    refused: Vec<Target>,
    not_before: Instant,
    done: Option<(Moved, Target)>,
}

impl Mover {
    pub(super) fn new() -> Self {
        Self {
            task: None,
            refused: Vec::new(),
            not_before: Instant::now(),
            done: None,
        }
    }

    pub(super) fn is_under_way(&self) -> bool {
        self.task.is_some()
    }

    pub(super) fn is_done(&self) -> bool {
        self.done.is_some()
    }

    /// Where the generation was moved, if it was.
    pub(super) fn take(&mut self) -> Option<(Moved, Target)> {
        self.done.take()
    }

    /// Waits for the move under way to end, for ever if there is none.
    pub(super) async fn ended(&mut self, place: &Place) {
        let Some(task) = &mut self.task else {
            return std::future::pending().await;
        };
        let result = task.result.as_mut().await;
        let to = task.to.clone();
        self.task = None;
        match result {
            Ok(moved) => self.done = Some((moved, to)),
            // The transfer has logged why.
            Err(_) => {
                place.drop_move(&to);
                self.not_before = Instant::now() + PAUSE;
                self.refused.push(to);
            }
        }
    }

    /// Starts a move if the engine leaves, unless a copy is kept on one that stays, or the service
    /// doesn't move.
    pub(super) fn start_if_due(&mut self, job: &Job, place: &Place) {
        let (stays, copy_stays) = place.stays();
        let early = Instant::now() < self.not_before;
        if stays || copy_stays || early || self.is_under_way() || !can_move(job) {
            return;
        }
        let Some(to) = place.plan_move(&self.refused) else {
            return;
        };
        let from = job.entry.instance(&place.choice.target);
        let Some(engines) = from.zip(job.entry.instance(&to)) else {
            place.drop_move(&to);
            return;
        };
        let result = transfer::run(Arc::clone(&job.entry), job.call.id.clone(), engines);
        self.task = Some(Task {
            result: Box::pin(result),
            to,
        });
    }
}

fn can_move(job: &Job) -> bool {
    job.engine().is_some_and(|engine| engine.moves) && !resumable(job)
}
