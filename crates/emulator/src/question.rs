//! Questions for the state of every accepted job at the end of a run.

use std::{sync::Arc, time::Duration};

use jacinthhoist_core::job::JobId;
use jacinthhoist_scheduler::{CallerAction, CallerReply, CallerRequest};
use rand::{SeedableRng, rngs::StdRng, seq::IndexedRandom};
use tokio::{task::JoinSet, time::sleep};

use crate::{
    caller::{ANSWER_TIMEOUT, MAX_ATTEMPTS, RETRY_DELAY},
    fleet::EmulatedFleet,
    history::{CallOutcome, FinalAnswer, JobHistory},
};

/// Asks for all accepted jobs that were not cancelled, all at once, and records the answers.
pub(crate) async fn ask_about_jobs(fleet: &Arc<EmulatedFleet>, seed: u64) {
    let jobs: Vec<(JobId, String)> = {
        let state = fleet.model.state();
        let asked = state.history.jobs.iter().filter(|(_, job)| is_asked(job));
        asked
            .map(|(id, job)| (*id, job.shape.pool.to_string()))
            .collect()
    };
    let mut questions = JoinSet::new();
    for (id, pool) in jobs {
        let rng = StdRng::seed_from_u64(seed ^ id.0);
        let fleet = fleet.clone();
        questions.spawn(async move { (id, ask(&fleet, id, &pool, rng).await) });
    }
    while let Some(Ok((id, answer))) = questions.join_next().await {
        let mut state = fleet.model.state();
        if let Some(job) = state.history.jobs.get_mut(&id) {
            job.final_answer = answer;
        }
    }
}

fn is_asked(job: &JobHistory) -> bool {
    let mut attempts = job.attempts.iter();
    let accepted = attempts.any(|(_, outcome)| *outcome == CallOutcome::Accepted);
    accepted && job.cancelled.is_none()
}

/// Asks random running members for a job until one answers, with as many attempts as a caller makes.
async fn ask(fleet: &EmulatedFleet, id: JobId, pool: &str, mut rng: StdRng) -> FinalAnswer {
    let mut attempts = 0;
    while attempts < MAX_ATTEMPTS {
        let Some(member) = fleet.running_members().choose(&mut rng).copied() else {
            // The platform sends no caller to members that do not run.
            sleep(RETRY_DELAY).await;
            continue;
        };
        attempts += 1;
        let request = CallerRequest {
            key: fleet.model.state().present_key(id),
            host: format!("{pool}.example"),
            path: format!("/jobs/{id}"),
            action: CallerAction::Show,
            timeout: Some(ANSWER_TIMEOUT),
        };
        let delay = match fleet.call(member, request, ANSWER_TIMEOUT).await {
            Some(CallerReply::State(state)) => return FinalAnswer::State(state),
            Some(CallerReply::NoSuchJob) => return FinalAnswer::NoSuchJob,
            Some(CallerReply::Unavailable { retry_after }) => {
                Duration::from_millis(retry_after.as_millis())
            }
            _ => RETRY_DELAY,
        };
        sleep(delay).await;
    }
    FinalAnswer::Unanswered
}
