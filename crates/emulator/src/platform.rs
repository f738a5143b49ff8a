//! Implementation of the scheduler's platform interface on the emulated services.

use std::{sync::Arc, time::Duration};

use jacinthhoist_codec::KeyedRecord;
use jacinthhoist_core::{
    ClockTime, PoolName, VmName, WorkerId,
    job::{OrderReply, RenewalReport, StartReply, StepAdvice, StepKey, TaskKey},
};
use jacinthhoist_scheduler::{
    Category, ErrorKind, Result,
    ports::{
        AppendSequence, Membership, NewestPage, OperatorRecord, OrderAuthority, Platform, ReadPage,
        RenewalOrder, StartOrder, StoreStream, VmListing, WorkerLink, WorkerRecord,
    },
};
use tokio::time::sleep;

use crate::{
    model::PlatformModel, network::Endpoint, policy::PolicyTurn, store::WriteOutcome, vm::VmCommand,
};

/// Timeout of a store call; the same as the platform adapter's.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Timeout of an order to a worker.
const ORDER_TIMEOUT: Duration = Duration::from_millis(250);
/// Time allowed beyond the requested wait of a renewal or a read.
const WAIT_MARGIN: Duration = Duration::from_millis(600);

/// Interval at which a waiting read checks for operator records.
const OPERATOR_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Platform as one member reaches it.
pub(crate) struct EmulatedPlatform {
    pub(crate) model: Arc<PlatformModel>,
    pub(crate) member: Endpoint,
    /// Calls of the member to the policy service.
    pub(crate) policy_turn: PolicyTurn,
}

/// Worker as one member reaches it.
pub(crate) struct EmulatedLink {
    model: Arc<PlatformModel>,
    member: Endpoint,
    worker: WorkerId,
}

impl EmulatedPlatform {
    /// Calls the store; `serve` runs once the store has received the call.
    async fn store_call<T>(
        &self,
        name: &'static str,
        timeout: Duration,
        serve: impl Future<Output = Option<Result<T>>>,
    ) -> Result<T> {
        let answer = async {
            match self.model.store.answer(name).await? {
                Ok(()) => serve.await,
                Err(error) => Some(Err(error)),
            }
        };
        let network = &self.model.network;
        let call = network.call(name, &self.member, &Endpoint::Store, timeout, answer);
        call.await
    }
}

impl Platform for EmulatedPlatform {
    type Worker = EmulatedLink;

    async fn append(
        &self,
        stream: StoreStream,
        sequence: &AppendSequence,
        records: &[KeyedRecord],
        limit: ClockTime,
    ) -> Result<()> {
        let (model, sequence) = (self.model.clone(), sequence.clone());
        let records = records.to_vec();
        // The store processes an append that it has received even if the member stops waiting.
        let serve = async move {
            let append = tokio::spawn(async move {
                if let Err(error) = model.store.queue_append(stream).await {
                    return Some(Err(error));
                }
                match model.store.write(stream, &sequence, &records) {
                    WriteOutcome::Answered(answer) => Some(answer),
                    WriteOutcome::Unanswered => None,
                    WriteOutcome::Later(delay) => {
                        sleep(delay).await;
                        // The caller gets no answer.
                        let _ = model.store.append(stream, &sequence, &records);
                        None
                    }
                }
            });
            append.await.ok().flatten()
        };
        let limit = Duration::from_millis(limit.as_millis());
        self.store_call("append", limit, serve).await
    }

    async fn newest(&self, stream: StoreStream, after: Option<String>) -> Result<NewestPage> {
        let serve = async { Some(Ok(self.model.store.newest(stream, after.as_deref()))) };
        self.store_call("newest", CALL_TIMEOUT, serve).await
    }

    async fn read(
        &self,
        stream: StoreStream,
        from: u64,
        wait: ClockTime,
    ) -> Result<ReadPage<KeyedRecord>> {
        let timeout = WAIT_MARGIN + Duration::from_millis(wait.as_millis());
        let serve = async { Some(self.model.store.read(stream, from, wait).await) };
        self.store_call("read", timeout, serve).await
    }

    async fn operator_newest(&self) -> Result<ReadPage<OperatorRecord>> {
        let serve = async { Some(Ok(self.model.state().operator_records.all_newest())) };
        self.store_call("operator newest", CALL_TIMEOUT, serve)
            .await
    }

    async fn operator_read(&self, from: u64, wait: ClockTime) -> Result<ReadPage<OperatorRecord>> {
        let timeout = WAIT_MARGIN + Duration::from_millis(wait.as_millis());
        let serve = async {
            let deadline = self.model.clock.now() + wait;
            loop {
                let page = self.model.state().operator_records.read(from);
                let is_empty = page.as_ref().is_ok_and(|page| page.next == from);
                if !is_empty || self.model.clock.now() >= deadline {
                    return Some(page);
                }
                sleep(OPERATOR_POLL_INTERVAL).await;
            }
        };
        self.store_call("operator read", timeout, serve).await
    }

    async fn workers_newest(&self) -> Result<ReadPage<WorkerRecord>> {
        let serve = async { Some(Ok(self.model.state().worker_entries.all_newest())) };
        self.store_call("workers newest", CALL_TIMEOUT, serve).await
    }

    async fn workers_read(&self, from: u64) -> Result<ReadPage<WorkerRecord>> {
        let serve = async { Some(self.model.state().worker_entries.read(from)) };
        self.store_call("workers read", CALL_TIMEOUT, serve).await
    }

    async fn join(
        &self,
        member: &str,
        _generation: u64,
        lifetime: ClockTime,
    ) -> Result<Membership> {
        let serve = async {
            let now = self.model.clock.now();
            let delay = self.model.store.join_delay(member)?;
            let membership = self.model.store.join(member, lifetime, now);
            if !delay.is_zero() {
                sleep(delay).await;
            }
            Some(Ok(membership))
        };
        self.store_call("join", WAIT_MARGIN, serve).await
    }

    async fn leave(&self, member: &str) -> Result<()> {
        let serve = async {
            let now = self.model.clock.now();
            self.model.store.leave(member, now);
            Some(Ok(()))
        };
        self.store_call("leave", WAIT_MARGIN, serve).await
    }

    async fn owner(&self) -> Result<Option<String>> {
        let serve = async {
            let now = self.model.clock.now();
            Some(Ok(self.model.store.owner(now)))
        };
        self.store_call("owner", CALL_TIMEOUT, serve).await
    }

    async fn write_wave(&self, wave: u64, completed: bool) -> Result<()> {
        let serve = async {
            let now = self.model.clock.now();
            let mut state = self.model.state();
            if let Some(wave) = state.history.waves.get_mut(&wave)
                && completed
            {
                wave.completed_at.get_or_insert(now);
            }
            Some(Ok(()))
        };
        self.store_call("wave status", CALL_TIMEOUT, serve).await
    }

    async fn advise(
        &self,
        step: StepKey,
        workers: &[WorkerId],
        limit: ClockTime,
    ) -> Result<StepAdvice> {
        let serve = async {
            // Without a policy no catalogue asks for advice.
            let policy = self.model.policy?;
            let now = || self.model.clock.now();
            let advice = self.policy_turn.advise(policy, step, workers, now);
            Some(Ok(advice.await))
        };
        let network = &self.model.network;
        let limit = Duration::from_millis(limit.as_millis());
        // The policy service is reached like the other services of the platform.
        let call = network.call("advise", &self.member, &Endpoint::VmService, limit, serve);
        call.await
    }

    async fn list_vms(&self) -> Result<VmListing> {
        let serve = async { Some(Ok(self.model.list_vms().into())) };
        let network = &self.model.network;
        let (name, to) = ("list of VMs", Endpoint::VmService);
        network
            .call(name, &self.member, &to, CALL_TIMEOUT, serve)
            .await
    }

    async fn move_vm(&self, vm: &VmName, to: &PoolName, authority: OrderAuthority) -> OrderReply {
        self.order_vm(vm, VmCommand::Move(to.clone()), authority)
            .await
    }

    async fn maintain_vm(&self, vm: &VmName, wave: u64, authority: OrderAuthority) -> OrderReply {
        self.order_vm(vm, VmCommand::Maintain(wave), authority)
            .await
    }

    fn worker(&self, id: &WorkerId, _address: &str) -> Result<EmulatedLink> {
        Ok(EmulatedLink {
            model: self.model.clone(),
            member: self.member.clone(),
            worker: id.clone(),
        })
    }
}

impl EmulatedPlatform {
    async fn order_vm(
        &self,
        vm: &VmName,
        order: VmCommand,
        authority: OrderAuthority,
    ) -> OrderReply {
        let token = authority.token;
        let serve = async {
            let reply = self.model.order_vm(vm, order, token, &self.member);
            let is_answered = !self.model.state().drops_vm_answers;
            is_answered.then_some(Ok(reply))
        };
        let network = &self.model.network;
        if !network.may_send(&self.member, authority).await {
            return OrderReply::Expired;
        }
        let (name, to) = ("order on a VM", Endpoint::VmService);
        let answer = network.call(name, &self.member, &to, CALL_TIMEOUT, serve);
        answer.await.unwrap_or(OrderReply::Unknown)
    }
}

impl EmulatedLink {
    async fn call<T>(
        &self,
        name: &'static str,
        authority: OrderAuthority,
        timeout: Duration,
        serve: impl Future<Output = Option<Result<T>>>,
    ) -> Result<T> {
        let to = Endpoint::Worker(self.worker.clone());
        let network = &self.model.network;
        if !network.may_send(&self.member, authority).await {
            return Err(ErrorKind::Expired { call: name }.into());
        }
        network.call(name, &self.member, &to, timeout, serve).await
    }
}

impl WorkerLink for EmulatedLink {
    async fn renew(
        &self,
        order: RenewalOrder,
        authority: OrderAuthority,
    ) -> Result<Option<RenewalReport>> {
        let token = authority.token;
        let timeout = WAIT_MARGIN + Duration::from_millis(order.wait.as_millis());
        let serve = async { self.model.renew(&self.worker, order, token).await.map(Ok) };
        self.call("hold", authority, timeout, serve).await
    }

    async fn start(&self, order: StartOrder, authority: OrderAuthority) -> StartReply {
        let token = authority.token;
        let serve = async {
            let in_touch = self.model.network.is_in_touch(&self.member);
            if !self.model.is_process(&self.worker, order.incarnation) {
                return Some(Ok(StartReply::OtherProcess));
            }
            let (permit, now) = (order.permit.as_deref(), self.model.clock.now());
            let is_permitted = self
                .model
                .policy
                .is_none_or(|policy| policy.accepts(permit, order.task, &self.worker, now));
            if !is_permitted {
                return Some(Ok(StartReply::NoPermit));
            }
            let reply = self.model.start_run(&self.worker, order, token, in_touch);
            reply.map(Ok)
        };
        let answer: Result<StartReply> = self.call("start", authority, ORDER_TIMEOUT, serve).await;
        answer.unwrap_or_else(|error| match error.category() {
            Category::Expired => StartReply::Expired,
            Category::NotDone => StartReply::Unhealthy,
            _ => StartReply::Unknown,
        })
    }

    async fn stop(&self, task: TaskKey, run: u32, authority: OrderAuthority) -> OrderReply {
        let token = authority.token;
        let serve = async {
            let stopped = self.model.stop_run(&self.worker, task, run, token);
            stopped.map(Ok)
        };
        let answer: Result<OrderReply> = self.call("stop", authority, ORDER_TIMEOUT, serve).await;
        answer.unwrap_or_else(|error| match error.category() {
            Category::Expired => OrderReply::Expired,
            _ => OrderReply::Unknown,
        })
    }
}
