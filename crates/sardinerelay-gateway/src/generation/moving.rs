//! Moves of one stream's generation off an engine that leaves.

use {
    super::{
        resumable,
        transfer::{self, Moved},
    },
    crate::{entry::Allocation, request::Job},
    futures::future::BoxFuture,
    log::info,
    sardinerelay::id::Target,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Pause before another move is tried where one failed.
const PAUSE: Duration = Duration::from_millis(50);
/// Time for which an engine to which a move failed is not tried again. Meanwhile other generations
/// may end there.
const AVOIDED: Duration = Duration::from_millis(400);

/// A request for a destination.
struct Asking {
    granted: BoxFuture<'static, Option<(Target, u32)>>,
    since: Instant,
}

/// A move under way.
struct Task {
    result: BoxFuture<'static, Result<Moved, transfer::Failure>>,
    to: Target,
}

/// The moves of one stream on one engine.
pub(super) struct Mover {
    asking: Option<Asking>,
    task: Option<Task>,
    /// Engines that had no room, or could not be reached.
    refused: Vec<(Target, Instant)>,
    not_before: Instant,
    done: Option<(Moved, Target)>,
}

impl Mover {
    pub(super) fn new() -> Self {
        Self {
            asking: None,
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

    /// Waits for the next step of the move, for ever if there is none.
    pub(super) async fn step(&mut self, job: &Job, place: &mut Allocation) {
        if let Some(asking) = &mut self.asking {
            let granted = asking.granted.as_mut().await;
            let waited = asking.since.elapsed();
            self.asking = None;
            match granted {
                Some(destination) => self.start(job, place, (destination, waited)),
                None => self.not_before = Instant::now() + PAUSE,
            }
            return;
        }
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
                place.release_destination();
                self.not_before = Instant::now() + PAUSE;
                self.refused.push((to, Instant::now()));
            }
        }
    }

    /// Asks for a destination if the engine leaves, unless a copy is kept on one that stays, or the
    /// service doesn't move.
    pub(super) fn ask_if_due(&mut self, job: &Job, place: &Allocation) {
        let (stays, copy_stays) = place.engines_stay();
        let early = Instant::now() < self.not_before;
        let busy = self.asking.is_some() || self.is_under_way();
        if stays || copy_stays || early || busy || !can_move(job) {
            return;
        }
        self.refused.retain(|(_, at)| at.elapsed() < AVOIDED);
        let avoid: Vec<Target> = self.refused.iter().map(|(to, _)| to.clone()).collect();
        if let Some(departure) = place.departure(&avoid) {
            self.asking = Some(Asking {
                granted: Box::pin(Arc::clone(&job.entry).relocate(departure)),
                since: Instant::now(),
            });
        }
    }

    fn start(
        &mut self,
        job: &Job,
        place: &mut Allocation,
        ((to, by), waited): ((Target, u32), Duration),
    ) {
        info!(
            request = job.call.id.as_str(), target_id = place.choice.target.as_str(),
            to_id = to.as_str(), by = by, waited_ms = waited.as_millis() as u64;
            "move planned"
        );
        place.set_destination((to.clone(), by));
        let from = job.entry.instance(&place.choice.target);
        let Some(engines) = from.zip(job.entry.instance(&to)) else {
            place.release_destination();
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
    job.engine().is_some_and(|engine| engine.supports_moves) && !resumable(job)
}
