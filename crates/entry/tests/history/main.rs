//! History checking: concurrent callers use several members while faults are injected; the recorded
//! calls are then compared with the runs counted by the upstreams.

mod checker;
mod faults;

use std::sync::Arc;

use checker::{Call, CallResult, History};
use faults::FaultInjector;
use jacinthhoist_experiments::{FleetPlan, LocalFleet, WorkCaller};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use tokio::sync::{mpsc, oneshot};

const CALLERS: u64 = 24;
const CALLS_PER_CALLER: u64 = 40;
const SEEDS: [u64; 2] = [1, 2];

/// Draws the next call of a caller.
fn draw_call(random: &mut StdRng, caller: u64, number: u64) -> Call {
    let work = ["quote-run", "pour-order", "mould-cure", "pour-order"][random.random_range(0..4)];
    let keyed = work == "pour-order" && random.random_bool(0.6);
    // Neighbouring callers share keys, so that repeats of a call reach different members.
    let order = match keyed {
        true => format!("key-{}-{}", caller / 3, number / 2),
        false => format!("one-{caller}-{number}"),
    };
    Call {
        work: work.to_owned(),
        body: format!("body of {order}"),
        order,
        keyed,
        result: CallResult::Broken,
    }
}

async fn send(addresses: &[std::net::SocketAddr], member: usize, mut call: Call) -> Call {
    let mut caller = WorkCaller::new(addresses[member % addresses.len()]).order(&call.order);
    if call.keyed {
        caller = caller.key(&call.order);
    }
    call.result = match caller.send(&call.work, &call.body).await {
        Ok(answer) => CallResult::Answered {
            outcome: answer.outcome.clone(),
            status: answer.status,
            text: answer.text(),
        },
        Err(_) => CallResult::Broken,
    };
    call
}

async fn run(seed: u64) -> History {
    let mut plan = FleetPlan::small();
    plan.members = 3;
    plan.service_ms = 3;
    plan.catalogue = plan
        .catalogue
        .replace("deadline_ms = 10000", "deadline_ms = 600");
    let fleet = LocalFleet::start(plan).await;
    let injector = FaultInjector::new(fleet, seed);
    let addresses = injector.addresses();
    let (stop, stopped) = oneshot::channel();
    let faults = tokio::spawn(injector.run(stopped));
    let (calls, mut results) = mpsc::unbounded_channel();
    for caller in 0..CALLERS {
        let (calls, addresses) = (calls.clone(), addresses.clone());
        tokio::spawn(async move {
            let mut random = StdRng::seed_from_u64(seed * 1_000 + caller);
            for number in 0..CALLS_PER_CALLER {
                let call = draw_call(&mut random, caller, number);
                let member = random.random_range(0..3);
                let current = Arc::clone(&addresses.load());
                // The receiver outlives every caller.
                let _ = calls.send(send(&current, member, call).await);
            }
        });
    }
    drop(calls);
    let mut history = History::default();
    while let Some(call) = results.recv().await {
        history.calls.push(call);
    }
    drop(stop);
    history.runs = faults
        .await
        .expect("the fault injector panicked")
        .runs()
        .await;
    history
}

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_histories_satisfy_every_guarantee() {
    for seed in SEEDS {
        let history = run(seed).await;
        assert_eq!(
            history.calls.len() as u64,
            CALLERS * CALLS_PER_CALLER,
            "every call has exactly one result"
        );
        history
            .check()
            .unwrap_or_else(|violation| panic!("seed {seed}: {violation}"));
        println!("seed {seed}: {}", history.summary());
    }
}

#[test]
fn the_checker_detects_invalid_histories() {
    let done = |order: &str, text: &str| Call {
        work: "pour-order".to_owned(),
        body: format!("body of {order}"),
        order: order.to_owned(),
        keyed: false,
        result: CallResult::Answered {
            outcome: "done".to_owned(),
            status: 200,
            text: text.to_owned(),
        },
    };
    let with_result = |outcome: &str, status: u16, text: &str| {
        let result = CallResult::Answered {
            outcome: outcome.to_owned(),
            status,
            text: text.to_owned(),
        };
        Call {
            result,
            ..done("a", "")
        }
    };
    let history = |call: Call, runs: u32| History {
        calls: vec![call],
        runs: [("a".to_owned(), runs)]
            .into_iter()
            .filter(|(_, runs)| *runs > 0)
            .collect(),
    };
    assert!(history(done("a", "ran: body of a"), 1).check().is_ok());
    let cases = [
        (history(done("a", "ran: body of a"), 2), "ran 2 times"),
        (history(done("a", "ran: body of b"), 1), "another request"),
        (history(done("a", "ran: body"), 1), "another request"),
        (history(done("a", "ran: body of a"), 0), "never ran"),
        (history(with_result("not-run", 503, "{}"), 1), "not run"),
        (history(with_result("", 200, ""), 1), "no outcome"),
    ];
    for (history, expected) in cases {
        let error = history.check().expect_err(expected);
        assert!(error.contains(expected), "{error}");
    }
}
