//! History checking: many concurrent callers at several members, with faults of every kind.

mod checker;
mod faults;

use std::sync::Arc;

use checker::{Call, CallEnd, History};
use faults::FaultDriver;
use jacinthhoist_experiments::{FleetPlan, LocalFleet, WorkCaller};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use tokio::sync::{mpsc, oneshot};

const CALLERS: u64 = 24;
const CALLS: u64 = 40;
const SEEDS: [u64; 2] = [1, 2];

/// What a caller is about to send.
fn draw(random: &mut StdRng, caller: u64, number: u64) -> Call {
    let work = ["quote-run", "pour-order", "mould-cure", "pour-order"][random.random_range(0..4)];
    let keyed = work == "pour-order" && random.random_bool(0.6);
    // Keys are shared by neighbouring callers, so that repeats meet at different members.
    let order = match keyed {
        true => format!("key-{}-{}", caller / 3, number / 2),
        false => format!("one-{caller}-{number}"),
    };
    Call {
        work: work.to_owned(),
        body: format!("body of {order}"),
        order,
        keyed,
        end: CallEnd::Broken,
    }
}

async fn send(addresses: &[std::net::SocketAddr], place: usize, mut call: Call) -> Call {
    let mut caller = WorkCaller::new(addresses[place % addresses.len()]).order(&call.order);
    if call.keyed {
        caller = caller.key(&call.order);
    }
    call.end = match caller.send(&call.work, &call.body).await {
        Ok(answer) => CallEnd::Answered {
            outcome: answer.outcome.clone(),
            status: answer.status,
            text: answer.text(),
        },
        Err(_) => CallEnd::Broken,
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
    let driver = FaultDriver::new(fleet, seed);
    let addresses = driver.addresses();
    let (stop, stopped) = oneshot::channel();
    let faults = tokio::spawn(driver.run(stopped));
    let (calls, mut ended) = mpsc::unbounded_channel();
    for caller in 0..CALLERS {
        let (calls, addresses) = (calls.clone(), addresses.clone());
        tokio::spawn(async move {
            let mut random = StdRng::seed_from_u64(seed * 1_000 + caller);
            for number in 0..CALLS {
                let call = draw(&mut random, caller, number);
                let place = random.random_range(0..3);
                let now = Arc::clone(&addresses.load());
                // The gatherer outlives every caller.
                let _ = calls.send(send(&now, place, call).await);
            }
        });
    }
    drop(calls);
    let mut history = History::default();
    while let Some(call) = ended.recv().await {
        history.calls.push(call);
    }
    drop(stop);
    history.runs = faults.await.expect("the faults end").runs().await;
    history
}

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_histories_keep_every_promise() {
    for seed in SEEDS {
        let history = run(seed).await;
        assert_eq!(
            history.calls.len() as u64,
            CALLERS * CALLS,
            "every call ends once"
        );
        history
            .check()
            .unwrap_or_else(|broken| panic!("seed {seed}: {broken}"));
        println!("seed {seed}: {}", history.summary());
    }
}

#[test]
fn the_checker_catches_planted_faults() {
    let done = |order: &str, text: &str| Call {
        work: "pour-order".to_owned(),
        body: format!("body of {order}"),
        order: order.to_owned(),
        keyed: false,
        end: CallEnd::Answered {
            outcome: "done".to_owned(),
            status: 200,
            text: text.to_owned(),
        },
    };
    let with_end = |outcome: &str, status: u16, text: &str| {
        let end = CallEnd::Answered {
            outcome: outcome.to_owned(),
            status,
            text: text.to_owned(),
        };
        Call {
            end,
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
        (history(with_end("not-run", 503, "{}"), 1), "not run"),
        (history(with_end("", 200, ""), 1), "no outcome"),
    ];
    for (history, expected) in cases {
        let caught = history.check().expect_err(expected);
        assert!(caught.contains(expected), "{caught}");
    }
}
