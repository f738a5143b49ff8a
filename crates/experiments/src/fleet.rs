//! Local system on loopback addresses: fakes, upstreams and entry members in one process.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, client::conn::http1};
use hyper_util::rt::TokioIo;
use jacinthhoist_codec::{
    CatalogueFile, CatalogueView, ChangeRequest, ChangeResponse, PoolView, VmView,
};
use jacinthhoist_entry::{EntrySettings, LimitSettings};
use jacinthhoist_fakes::{LogService, UpstreamVm, VmEntry, VmList};
use serde::de::DeserializeOwned;
use tokio::{
    net::TcpStream,
    time::{interval, timeout},
};

use crate::{
    caller::{CallerError, WAIT_TIMEOUT},
    member::LocalMember,
};

/// Threads of the runtime that a member's control runs on.
const CONTROL_THREADS: usize = 2;
/// Interval at which a wait checks its condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Composition of a local system.
#[derive(Clone, Debug)]
pub struct FleetPlan {
    /// Text of the catalogue that is applied at the start.
    pub catalogue: String,
    /// Number of entry members.
    pub members: usize,
    /// Number of upstream VMs.
    pub workers: usize,
    /// Number of data centres that the VMs are spread over.
    pub data_centres: usize,
    /// Number of VMs in one rack.
    pub rack_size: usize,
    /// Service time of runs for which the caller sets none, in milliseconds.
    pub service_ms: u64,
    /// Number of threads of one member that serve requests.
    pub threads: usize,
    /// Limits of every member.
    pub limits: LimitSettings,
}

impl FleetPlan {
    /// Small system for tests: two members, one pool of four VMs and one spare pool.
    pub fn small() -> Self {
        let catalogue = include_str!("small.toml").to_owned();
        let limits = LimitSettings {
            vm_list_ms: 100,
            plan_ms: 50,
            beat_ms: 100,
            silent_ms: 2_000,
            missing_ms: 400,
            unready_ms: 0,
            appends_per_sec: 200,
            ..LimitSettings::default()
        };
        Self {
            catalogue,
            members: 2,
            workers: 6,
            data_centres: 2,
            rack_size: 2,
            service_ms: 2,
            threads: 2,
            limits,
        }
    }
}

/// Running local system.
pub struct LocalFleet {
    /// Fake of the log service.
    pub log: LogService,
    /// Fake of the VM list.
    pub list: VmList,
    /// Fake upstreams by VM name.
    pub upstreams: BTreeMap<String, UpstreamVm>,
    /// Running entry members.
    pub members: Vec<LocalMember>,
    plan: FleetPlan,
    started_members: usize,
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

impl LocalFleet {
    /// Starts a system, applies the plan's catalogue and waits until all VMs serve.
    ///
    /// # Panics
    ///
    /// Panics if a loopback address cannot be bound or the system does not become ready in time.
    pub async fn start(plan: FleetPlan) -> Self {
        let mut fleet = Self::start_empty(plan).await;
        for _ in 0..fleet.plan.members {
            fleet.add_member().await;
        }
        fleet
            .wait_until("members are ready", |fleet| {
                fleet
                    .members
                    .iter()
                    .all(|member| member.waits_for().is_none())
            })
            .await;
        let text = fleet.plan.catalogue.clone();
        let response = fleet
            .apply(0, &text)
            .await
            .expect("the catalogue is applied");
        assert!(response.message.is_none(), "{response:?}");
        fleet.wait_until_settled().await;
        fleet
    }

    /// Starts the fakes and the upstreams without any member.
    ///
    /// # Panics
    ///
    /// Panics if a loopback address cannot be bound.
    pub async fn start_empty(plan: FleetPlan) -> Self {
        let log = LogService::bind(loopback())
            .await
            .expect("the log address is bound");
        let list = VmList::bind(loopback())
            .await
            .expect("the list address is bound");
        let mut fleet = Self {
            log,
            list,
            upstreams: BTreeMap::new(),
            members: Vec::new(),
            plan,
            started_members: 0,
        };
        for index in 0..fleet.plan.workers {
            fleet.add_upstream(index).await;
        }
        fleet
    }

    async fn add_upstream(&mut self, index: usize) {
        let upstream = UpstreamVm::bind(loopback(), self.plan.service_ms)
            .await
            .expect("the upstream address is bound");
        let name = format!("w{index:04}");
        let data_centre = format!("dc-{}", index % self.plan.data_centres + 1);
        let rack = format!(
            "rack-{}",
            index / self.plan.data_centres / self.plan.rack_size
        );
        self.list
            .add(VmEntry::worker(
                &name,
                upstream.address(),
                &data_centre,
                &rack,
            ))
            .await;
        self.upstreams.insert(name, upstream);
    }

    /// Starts one more member, adds its VM to the list and returns its index.
    ///
    /// # Panics
    ///
    /// Panics if a loopback address cannot be bound.
    pub async fn add_member(&mut self) -> usize {
        self.started_members += 1;
        let mut settings = EntrySettings::example(&format!("entry-{}", self.started_members));
        settings.platform.log_address = self.log.address();
        settings.platform.vm_list_address = self.list.address();
        settings.limits = LimitSettings {
            threads: self.plan.threads,
            ..self.plan.limits.clone()
        };
        let member = LocalMember::spawn(settings, CONTROL_THREADS).await;
        self.list
            .add(VmEntry::entry(
                member.name().as_str(),
                member.addresses().peer,
            ))
            .await;
        self.members.push(member);
        self.members.len() - 1
    }

    /// Kills a member with its requests in flight and removes its VM from the list.
    pub async fn kill_member(&mut self, index: usize) {
        let member = self.members.remove(index);
        let name = member.name().clone();
        drop(member);
        self.list.remove(name.as_str()).await;
    }

    /// Address of a member for callers.
    pub fn caller(&self, index: usize) -> SocketAddr {
        self.members[index % self.members.len()].addresses().caller
    }

    /// Address of a member's administration API.
    pub fn admin(&self, index: usize) -> SocketAddr {
        self.members[index % self.members.len()].addresses().admin
    }

    /// Applies the text of a catalogue file through a member's administration API.
    ///
    /// # Errors
    ///
    /// The member cannot be reached or its response cannot be read.
    pub async fn apply(&self, index: usize, text: &str) -> Result<ChangeResponse, CallerError> {
        let view: CatalogueView = self.get(index, "/v1/catalogue").await?;
        let edits = CatalogueFile::parse(text)?.edits(&view);
        let request = ChangeRequest {
            operator: "test".to_owned(),
            edits,
        };
        let body = serde_json::to_string(&request)?;
        request_json(self.admin(index), Method::POST, "/v1/catalogue", body).await
    }

    /// Reads a view from a member's administration API.
    ///
    /// # Errors
    ///
    /// The member cannot be reached or its response cannot be read.
    pub async fn get<T: DeserializeOwned>(
        &self,
        index: usize,
        path: &str,
    ) -> Result<T, CallerError> {
        request_json(self.admin(index), Method::GET, path, String::new()).await
    }

    /// Waits until every member reports every upstream as serving.
    ///
    /// # Panics
    ///
    /// Panics on a time-out.
    pub async fn wait_until_settled(&self) {
        let workers = self.upstreams.len();
        let settled = async {
            let mut poll_interval = interval(POLL_INTERVAL);
            loop {
                poll_interval.tick().await;
                let mut all_serving = true;
                for index in 0..self.members.len() {
                    let views: Vec<VmView> = self.get(index, "/v1/vms").await.unwrap_or_default();
                    let serving = views.iter().filter(|view| view.phase == "serving").count();
                    all_serving &= serving == workers;
                }
                if all_serving {
                    return;
                }
            }
        };
        timeout(WAIT_TIMEOUT, settled)
            .await
            .expect("all VMs serve before the time-out");
    }

    /// Waits until a condition on the system holds.
    ///
    /// # Panics
    ///
    /// Panics on a time-out.
    pub async fn wait_until(&self, description: &str, condition: impl Fn(&Self) -> bool) {
        let waited = async {
            let mut poll_interval = interval(POLL_INTERVAL);
            while !condition(self) {
                poll_interval.tick().await;
            }
        };
        assert!(
            timeout(WAIT_TIMEOUT, waited).await.is_ok(),
            "timed out waiting until {description}"
        );
    }

    /// Waits until a condition on a member's view holds.
    ///
    /// # Panics
    ///
    /// Panics on a time-out.
    pub async fn wait_for_view<T: DeserializeOwned>(
        &self,
        index: usize,
        path: &str,
        description: &str,
        condition: impl Fn(&T) -> bool,
    ) {
        let waited = async {
            let mut poll_interval = interval(POLL_INTERVAL);
            loop {
                poll_interval.tick().await;
                if self
                    .get(index, path)
                    .await
                    .is_ok_and(|view| condition(&view))
                {
                    return;
                }
            }
        };
        assert!(
            timeout(WAIT_TIMEOUT, waited).await.is_ok(),
            "timed out waiting until {description}"
        );
    }

    /// State of a pool as a member reports it.
    ///
    /// # Errors
    ///
    /// The member cannot be reached or does not know the pool.
    pub async fn pool(&self, index: usize, pool: &str) -> Result<PoolView, CallerError> {
        let views: Vec<PoolView> = self.get(index, "/v1/pools").await?;
        let matching = views.into_iter().find(|view| view.pool.as_str() == pool);
        matching.ok_or_else(|| format!("pool {pool} is unknown").into())
    }

    /// Number of runs on all upstreams, by the run's name.
    pub async fn runs(&self) -> BTreeMap<String, u32> {
        let mut totals = BTreeMap::new();
        for upstream in self.upstreams.values() {
            for (order, count) in upstream.runs().await {
                *totals.entry(order).or_default() += count;
            }
        }
        totals
    }
}

/// Sends one request to an administration API and parses the JSON response.
async fn request_json<T: DeserializeOwned>(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: String,
) -> Result<T, CallerError> {
    let bytes = request_bytes(address, method, path, body).await?;
    Ok(serde_json::from_slice(&bytes)?)
}

async fn request_bytes(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: String,
) -> Result<Bytes, CallerError> {
    let stream = TcpStream::connect(address).await?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(connection);
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header("host", "operator");
    let response = sender
        .send_request(request.body(Full::new(Bytes::from(body)))?)
        .await?;
    Ok(response.into_body().collect().await?.to_bytes())
}

impl FleetPlan {
    /// Plan of a deployment at its present size: six members and fifty VMs.
    pub fn deployment(catalogue: &str, data_centres: usize) -> Self {
        let limits = LimitSettings {
            plan_ms: 100,
            unready_ms: 0,
            ..LimitSettings::default()
        };
        Self {
            catalogue: catalogue.to_owned(),
            members: 6,
            workers: 50,
            data_centres,
            rack_size: 4,
            service_ms: 20,
            threads: 2,
            limits,
        }
    }
}

impl LocalFleet {
    /// Metrics of a member as text.
    ///
    /// # Errors
    ///
    /// The member cannot be reached or its response cannot be read.
    pub async fn metrics(&self, index: usize) -> Result<String, CallerError> {
        let bytes =
            request_bytes(self.admin(index), Method::GET, "/metrics", String::new()).await?;
        Ok(String::from_utf8(bytes.to_vec())?)
    }

    /// Addresses of all members for callers.
    pub fn callers(&self) -> Vec<SocketAddr> {
        self.members
            .iter()
            .map(|member| member.addresses().caller)
            .collect()
    }
}
