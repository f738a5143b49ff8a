//! Log lines and metrics of the scheduler's decisions.

use jacinthhoist_core::{
    ClockTime, WorkerId,
    job::{PoolSummary, ReleaseGround, SchedulerDecision, TaskKey, TenantSummary, WaitReason},
};
use serde_json::{Value, json};

use crate::{
    eventlog::{EventKind, EventLog},
    shared::MemberShared,
};

/// Counts and logs a decision that an owner took under the given token.
pub(super) fn log_decision(shared: &MemberShared, token: u64, decision: SchedulerDecision) {
    count(shared, &decision);
    let (kind, mut fields) = line(decision);
    fields["token"] = token.into();
    shared.log.write(kind, fields);
}

/// Logs the load of a pool.
pub(super) fn log_pool(log: &EventLog, summary: &PoolSummary) {
    let PoolSummary {
        pool,
        capacity,
        used,
        demand,
        arriving,
        running,
        queued,
        infeasible,
        waits,
    } = summary;
    let reasons = WaitReason::ALL.map(|reason| (reason.label().to_owned(), waits.steps(reason)));
    let steps: serde_json::Map<String, Value> = reasons
        .into_iter()
        .map(|(label, count)| (label, count.into()))
        .collect();
    let fields = json!({"pool": pool.as_str(), "cpu": capacity.cpu, "cpu_used": used.cpu,
        "mem_mb": capacity.mem_mb, "mem_mb_used": used.mem_mb, "demand_cpu": demand,
        "arriving_cpu": arriving, "running_cpu": running,
        "queued": queued, "infeasible": infeasible,
        "waiting_steps": steps});
    log.write(EventKind::Pool, fields);
}

/// Logs what a tenant has running and waiting.
pub(super) fn log_tenant(log: &EventLog, summary: &TenantSummary) {
    let TenantSummary {
        tenant,
        running,
        limit,
        share_permille,
        waiting,
        held_steps,
        surplus_jobs,
    } = summary;
    let fields = json!({"tenant": tenant.as_str(), "cpu": running.cpu, "mem_mb": running.mem_mb,
        "gpu": running.gpu, "limit_cpu": limit.0.cpu, "limit_mem_mb": limit.0.mem_mb,
        "limit_gpu": limit.0.gpu, "share_permille": share_permille, "waiting": waiting,
        "held_steps": held_steps, "surplus_jobs": surplus_jobs});
    log.write(EventKind::Tenant, fields);
}

fn count(shared: &MemberShared, decision: &SchedulerDecision) {
    match decision {
        SchedulerDecision::Finished { after, .. } => {
            shared.meter.job_time.record(after.as_secs_f64());
        }
        SchedulerDecision::RunLost { ground, .. } => shared.meter.count_lost_run(match ground {
            ReleaseGround::Ended => "ended",
            ReleaseGround::NotSent => "not_sent",
            ReleaseGround::Refused => "refused",
            ReleaseGround::LeaseLapsed => "lease_lapsed",
            ReleaseGround::WorkerRestarted => "worker_restarted",
            ReleaseGround::WorkerReplaced => "worker_replaced",
            ReleaseGround::NotThere => "not_there",
            ReleaseGround::Copied => "copied",
        }),
        _ => {}
    }
}

/// Returns the line for a decision.
fn line(decision: SchedulerDecision) -> (EventKind, Value) {
    match decision {
        SchedulerDecision::Accepted {
            job,
            work,
            tasks,
            traits,
        } => (
            EventKind::JobTaken,
            json!({"job": job.to_string(), "work": work.as_str(), "tasks": tasks,
                "traits": traits.as_slice()}),
        ),
        SchedulerDecision::Placed {
            job,
            tasks,
            unplaced,
        } => (
            EventKind::Placed,
            json!({"job": job.to_string(), "tasks": tasks, "left": unplaced}),
        ),
        SchedulerDecision::RunEnded {
            task,
            run,
            worker,
            end,
            failures,
        } => (
            EventKind::RunEnded,
            json!({"job": task.job.to_string(), "task": task.to_string(), "run": run,
                "worker": worker.as_str(), "end": format!("{end:?}"), "failures": failures}),
        ),
        SchedulerDecision::JobWaits { job, step, in_vain } => (
            EventKind::JobWaits,
            json!({"job": job.to_string(), "step": step.to_string(), "in_vain": in_vain}),
        ),
        SchedulerDecision::TenantFull {
            tenant,
            step,
            running,
            limit,
        } => (
            EventKind::TenantFull,
            json!({"tenant": tenant.as_str(), "job": step.job.to_string(),
                "step": step.to_string(), "cpu": running.cpu, "mem_mb": running.mem_mb,
                "gpu": running.gpu, "limit_cpu": limit.0.cpu, "limit_mem_mb": limit.0.mem_mb,
                "limit_gpu": limit.0.gpu}),
        ),
        SchedulerDecision::RoomHeld {
            task,
            worker,
            due_in,
        } => (
            EventKind::RoomHeld,
            json!({"job": task.job.to_string(), "task": task.to_string(),
                "worker": worker.as_str(), "due_in_ms": due_in.as_millis()}),
        ),
        SchedulerDecision::StartRefused {
            task,
            run,
            worker,
            reply,
        } => (
            EventKind::StartRefused,
            json!({"job": task.job.to_string(), "task": task.to_string(), "run": run,
                "worker": worker.as_str(), "reply": format!("{reply:?}")}),
        ),
        SchedulerDecision::RunLost {
            task,
            run,
            worker,
            ground,
            evidence,
        } => (
            EventKind::RunLost,
            json!({"job": task.job.to_string(), "task": task.to_string(), "run": run,
                "worker": worker.as_str(), "reason": format!("{ground:?}"),
                "incarnation": evidence.incarnation,
                "report_age_ms": evidence.report_age.map(ClockTime::as_millis),
                "begun_age_ms": evidence.begun_age.map(ClockTime::as_millis),
                "lease_until_ms": evidence.lease_until.as_millis(),
                "basis": format!("{:?}", evidence.basis)}),
        ),
        SchedulerDecision::StartsSent { runs } => {
            let rows = runs.iter();
            let rows =
                rows.map(|(task, run, worker)| json!([task.to_string(), run, worker.as_str()]));
            (
                EventKind::StartSent,
                json!({"runs": rows.collect::<Vec<_>>()}),
            )
        }
        SchedulerDecision::StartsPostponed { runs } => {
            let rows = runs.iter();
            let rows = rows.map(|(task, run)| json!([task.to_string(), run]));
            (
                EventKind::StartPostponed,
                json!({"runs": rows.collect::<Vec<_>>()}),
            )
        }
        SchedulerDecision::StartRepeated { task, run, worker } => {
            (EventKind::StartRepeated, run_fields(&task, run, &worker))
        }
        SchedulerDecision::RunAdopted { task, run, worker } => {
            (EventKind::RunAdopted, run_fields(&task, run, &worker))
        }
        SchedulerDecision::RunStray { task, run, worker } => {
            (EventKind::RunStray, run_fields(&task, run, &worker))
        }
        SchedulerDecision::RunStop {
            task,
            run,
            worker,
            reason,
        } => (
            EventKind::RunStop,
            json!({"job": task.job.to_string(), "task": task.to_string(), "run": run,
                "worker": worker.as_str(), "reason": format!("{reason:?}")}),
        ),
        SchedulerDecision::RunInDoubt {
            task,
            run,
            worker,
            implication,
            crashes,
        } => (
            EventKind::RunInDoubt,
            json!({"job": task.job.to_string(), "task": task.to_string(), "run": run,
                "worker": worker.as_str(), "implication": format!("{implication:?}"),
                "crashes": crashes}),
        ),
        SchedulerDecision::TaskFatal { task, crashes } => (
            EventKind::TaskFatal,
            json!({"job": task.job.to_string(), "task": task.to_string(), "crashes": crashes}),
        ),
        SchedulerDecision::Finished {
            job,
            state,
            after,
            spare_ms,
        } => (
            EventKind::Finished,
            json!({"job": job.to_string(), "state": format!("{state:?}"),
                "after_ms": after.as_millis(), "spare_ms": spare_ms}),
        ),
        SchedulerDecision::WorkerChanged {
            worker,
            pool,
            address,
            incarnation,
            change,
        } => (
            EventKind::Worker,
            json!({"worker": worker.as_str(), "pool": pool.as_str(), "address": &*address,
                "incarnation": incarnation, "now": format!("{change:?}")}),
        ),
        SchedulerDecision::ProcessReplaced {
            worker,
            incarnation,
            lease_until,
            was_granted,
        } => (
            EventKind::Worker,
            json!({"worker": worker.as_str(), "incarnation": incarnation, "now": "Restarted",
                "lease_until_ms": lease_until.as_millis(), "was_granted": was_granted}),
        ),
        SchedulerDecision::LeaseLapsed {
            worker,
            lease_until,
            basis,
        } => (
            EventKind::Worker,
            json!({"worker": worker.as_str(), "now": "Lapsed", "lease_until_ms": lease_until.as_millis(),
                "basis": format!("{basis:?}")}),
        ),
        SchedulerDecision::EvacuationBegun {
            vm,
            wave,
            worker,
            runs,
            long_running,
        } => (
            EventKind::Wave,
            json!({"vm": vm.as_str(), "wave": wave, "outcome": "evacuating",
                "worker": worker.as_ref().map(|id| id.as_str()), "runs": runs,
                "long_running": long_running}),
        ),
        SchedulerDecision::VmReassigned {
            vm,
            from,
            to,
            demand,
            capacity,
        } => (
            EventKind::Vm,
            json!({"vm": vm.as_str(), "from": from.as_str(), "to": to.as_str(),
                "demand_cpu": demand, "capacity_cpu": capacity, "outcome": "ordered"}),
        ),
    }
}

fn run_fields(task: &TaskKey, run: u32, worker: &WorkerId) -> Value {
    json!({"job": task.job.to_string(), "task": task.to_string(), "run": run,
        "worker": worker.as_str()})
}
