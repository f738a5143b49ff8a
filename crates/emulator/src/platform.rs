//! The scheduler's ports on the emulated platform.

use std::{sync::Arc, time::Duration};

use jacinthhoist_codec::KeyedRecord;
use jacinthhoist_core::{
    ClockTime, PoolName, VmName, WorkerId,
    job::{HoldReport, OrderReply, StartReply, StepAdvice, StepKey, TaskKey, VmEntry},
};
use jacinthhoist_scheduler::{
    Category, Result,
    ports::{
        AppendSequence, HoldOrder, Membership, NewestPage, OperatorRecord, Platform, ReadPage,
        StartOrder, StoreStream, WorkerLink, WorkerRecord,
    },
};
use tokio::time::sleep;

use crate::{model::World, network::Endpoint, store::Written, vm::MachineOrder};

/// Time for a call of the store, as the adapter gives it.
const CALL_LIMIT: Duration = Duration::from_millis(1_000);
/// Time for an order to a worker.
const ORDER_LIMIT: Duration = Duration::from_millis(250);
/// Time more than it may wait for a renewal or a read.
const WAIT_SLACK: Duration = Duration::from_millis(600);

/// Time between two looks for what operators write.
const OPERATOR_LOOK: Duration = Duration::from_millis(50);

/// The platform as one member reaches it.
pub(crate) struct EmulatedPlatform {
    pub(crate) world: Arc<World>,
    pub(crate) member: Endpoint,
}

/// A worker as one member reaches it.
pub(crate) struct EmulatedLink {
    world: Arc<World>,
    member: Endpoint,
    worker: WorkerId,
}

impl EmulatedPlatform {
    /// A call of the store; `serve` runs once the store has taken it.
    async fn store_call<T>(
        &self,
        name: &'static str,
        limit: Duration,
        serve: impl Future<Output = Option<Result<T>>>,
    ) -> Result<T> {
        let answer = async {
            match self.world.store.answer(name).await? {
                Ok(()) => serve.await,
                Err(error) => Some(Err(error)),
            }
        };
        let network = &self.world.network;
        let call = network.call(name, &self.member, &Endpoint::Store, limit, answer);
        call.await
    }
}

impl Platform for EmulatedPlatform {
    type Worker = EmulatedLink;

    async fn append(
        &self,
        stream: StoreStream,
        mark: &AppendSequence,
        records: &[KeyedRecord],
    ) -> Result<()> {
        let serve = async {
            match self.world.store.write(stream, mark, records) {
                Written::Answered(answer) => Some(answer),
                Written::Unanswered => None,
                Written::Later(delay) => {
                    let (world, mark) = (self.world.clone(), mark.clone());
                    let records = records.to_vec();
                    tokio::spawn(async move {
                        sleep(delay).await;
                        // Nobody waits for the answer.
                        let _ = world.store.append(stream, &mark, &records);
                    });
                    None
                }
            }
        };
        self.store_call("append", CALL_LIMIT, serve).await
    }

    async fn newest(&self, stream: StoreStream, after: Option<String>) -> Result<NewestPage> {
        let serve = async { Some(Ok(self.world.store.newest(stream, after.as_deref()))) };
        self.store_call("newest", CALL_LIMIT, serve).await
    }

    async fn read(
        &self,
        stream: StoreStream,
        from: u64,
        wait: ClockTime,
    ) -> Result<ReadPage<KeyedRecord>> {
        let limit = WAIT_SLACK + Duration::from_millis(wait.as_millis());
        let serve = async { Some(self.world.store.read(stream, from, wait).await) };
        self.store_call("read", limit, serve).await
    }

    async fn operator_newest(&self) -> Result<ReadPage<OperatorRecord>> {
        let serve = async { Some(Ok(self.world.state().operator.all_newest())) };
        self.store_call("operator newest", CALL_LIMIT, serve).await
    }

    async fn operator_read(&self, from: u64, wait: ClockTime) -> Result<ReadPage<OperatorRecord>> {
        let limit = WAIT_SLACK + Duration::from_millis(wait.as_millis());
        let serve = async {
            let until = self.world.clock.now() + wait;
            loop {
                let page = self.world.state().operator.read(from);
                let waits = page.as_ref().is_ok_and(|page| page.next == from);
                if !waits || self.world.clock.now() >= until {
                    return Some(page);
                }
                sleep(OPERATOR_LOOK).await;
            }
        };
        self.store_call("operator read", limit, serve).await
    }

    async fn workers_newest(&self) -> Result<ReadPage<WorkerRecord>> {
        let serve = async { Some(Ok(self.world.state().entries.all_newest())) };
        self.store_call("workers newest", CALL_LIMIT, serve).await
    }

    async fn workers_read(&self, from: u64) -> Result<ReadPage<WorkerRecord>> {
        let serve = async { Some(self.world.state().entries.read(from)) };
        self.store_call("workers read", CALL_LIMIT, serve).await
    }

    async fn join(&self, member: &str, _generation: u64) -> Result<Membership> {
        let serve = async {
            let now = self.world.clock.now();
            Some(Ok(self.world.store.join(member, now)))
        };
        self.store_call("join", WAIT_SLACK, serve).await
    }

    async fn leave(&self, member: &str) -> Result<()> {
        let serve = async {
            let now = self.world.clock.now();
            self.world.store.leave(member, now);
            Some(Ok(()))
        };
        self.store_call("leave", WAIT_SLACK, serve).await
    }

    async fn owner(&self) -> Result<Option<String>> {
        let serve = async {
            let now = self.world.clock.now();
            Some(Ok(self.world.store.owner(now)))
        };
        self.store_call("owner", CALL_LIMIT, serve).await
    }

    async fn write_wave(&self, wave: u64, completed: bool) -> Result<()> {
        let serve = async {
            let now = self.world.clock.now();
            let mut state = self.world.state();
            if let Some(wave) = state.history.waves.get_mut(&wave)
                && completed
            {
                wave.completed_at.get_or_insert(now);
            }
            Some(Ok(()))
        };
        self.store_call("wave status", CALL_LIMIT, serve).await
    }

    async fn advise(&self, _step: StepKey, workers: &[WorkerId]) -> Result<StepAdvice> {
        // Every worker is permitted; the day's catalogues ask for no advice.
        let good = workers.iter().map(|id| (id.clone(), "permit".into()));
        Ok(StepAdvice {
            permitted: good.collect(),
            valid_for: ClockTime::from_secs(10),
        })
    }

    async fn list_vms(&self) -> Result<Vec<VmEntry>> {
        let serve = async { Some(Ok(self.world.list_vms())) };
        let network = &self.world.network;
        let (name, to) = ("list of VMs", Endpoint::Machines);
        network
            .call(name, &self.member, &to, CALL_LIMIT, serve)
            .await
    }

    async fn move_vm(&self, vm: &VmName, to: &PoolName, token: u64) -> OrderReply {
        self.order_vm(vm, MachineOrder::Move(to.clone()), token)
            .await
    }

    async fn maintain_vm(&self, vm: &VmName, wave: u64, token: u64) -> OrderReply {
        self.order_vm(vm, MachineOrder::Maintain(wave), token).await
    }

    fn worker(&self, id: &WorkerId, _address: &str) -> Result<EmulatedLink> {
        Ok(EmulatedLink {
            world: self.world.clone(),
            member: self.member.clone(),
            worker: id.clone(),
        })
    }
}

impl EmulatedPlatform {
    async fn order_vm(&self, vm: &VmName, order: MachineOrder, token: u64) -> OrderReply {
        let serve = async { Some(Ok(self.world.order_vm(vm, order, token))) };
        let network = &self.world.network;
        let (name, to) = ("order on a VM", Endpoint::Machines);
        let answer = network.call(name, &self.member, &to, CALL_LIMIT, serve);
        answer.await.unwrap_or(OrderReply::Unknown)
    }
}

impl EmulatedLink {
    async fn call<T>(
        &self,
        name: &'static str,
        limit: Duration,
        serve: impl Future<Output = Option<Result<T>>>,
    ) -> Result<T> {
        let to = Endpoint::Worker(self.worker.clone());
        let network = &self.world.network;
        network.call(name, &self.member, &to, limit, serve).await
    }
}

impl WorkerLink for EmulatedLink {
    async fn hold(&self, order: HoldOrder, token: u64) -> Result<Option<HoldReport>> {
        let limit = WAIT_SLACK + Duration::from_millis(order.wait.as_millis());
        let serve = async { self.world.hold(&self.worker, order, token).await.map(Ok) };
        self.call("hold", limit, serve).await
    }

    async fn start(&self, order: StartOrder, token: u64) -> StartReply {
        let serve = async { self.world.begin(&self.worker, order, token).map(Ok) };
        let answer: Result<StartReply> = self.call("start", ORDER_LIMIT, serve).await;
        answer.unwrap_or_else(|error| match error.category() {
            Category::NotDone => StartReply::Unhealthy,
            _ => StartReply::Unknown,
        })
    }

    async fn stop(&self, task: TaskKey, run: u32, token: u64) -> OrderReply {
        let serve = async {
            let stopped = self.world.stop(&self.worker, task, run, token);
            stopped.map(Ok)
        };
        let answer: Result<OrderReply> = self.call("stop", ORDER_LIMIT, serve).await;
        answer.unwrap_or(OrderReply::Unknown)
    }
}
