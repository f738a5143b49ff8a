//! A whole system on loopback: stand-ins, upstreams and entry members in one process.

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
    caller::{CallerError, HANG_LIMIT},
    member::LocalMember,
};

/// Threads of a member's control pipe.
const CONTROL_THREADS: usize = 2;
/// How often a wait looks again.
const RECHECK: Duration = Duration::from_millis(20);

/// What a local system consists of.
#[derive(Clone, Debug)]
pub struct FleetPlan {
    /// The first catalogue.
    pub catalogue: String,
    /// Entry members.
    pub members: usize,
    /// Upstream VMs.
    pub workers: usize,
    /// Data centres that the VMs are spread over.
    pub data_centres: usize,
    /// VMs in one rack.
    pub rack_size: usize,
    /// How long a run takes unless the caller asks otherwise, in milliseconds.
    pub service_ms: u64,
    /// Threads of one member that serve requests.
    pub threads: usize,
    /// The members' limits.
    pub limits: LimitSettings,
}

impl FleetPlan {
    /// Two members, one pool of four VMs and a spare one, for tests.
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

/// A running local system.
pub struct LocalFleet {
    /// The log stand-in.
    pub log: LogService,
    /// The VM list stand-in.
    pub list: VmList,
    /// The upstream stand-ins, by VM name.
    pub upstreams: BTreeMap<String, UpstreamVm>,
    /// The entry members.
    pub members: Vec<LocalMember>,
    plan: FleetPlan,
    started: usize,
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

impl LocalFleet {
    /// Starts everything, applies the plan's catalogue and waits until the VMs serve.
    ///
    /// # Panics
    ///
    /// Where loopback addresses cannot be bound or the system does not come up.
    pub async fn start(plan: FleetPlan) -> Self {
        let mut fleet = Self::start_empty(plan).await;
        for _ in 0..fleet.plan.members {
            fleet.add_member().await;
        }
        fleet
            .wait_until("members are ready", |fleet| {
                fleet.members.iter().all(|m| m.waits_for().is_none())
            })
            .await;
        let text = fleet.plan.catalogue.clone();
        let answer = fleet
            .apply(0, &text)
            .await
            .expect("the catalogue is applied");
        assert!(answer.message.is_none(), "{answer:?}");
        fleet.wait_until_settled().await;
        fleet
    }

    /// Starts the stand-ins and the upstreams, and no member.
    ///
    /// # Panics
    ///
    /// Where loopback addresses cannot be bound.
    pub async fn start_empty(plan: FleetPlan) -> Self {
        let log = LogService::bind(any_port())
            .await
            .expect("the log is bound");
        let list = VmList::bind(any_port()).await.expect("the list is bound");
        let mut fleet = Self {
            log,
            list,
            upstreams: BTreeMap::new(),
            members: Vec::new(),
            plan,
            started: 0,
        };
        for index in 0..fleet.plan.workers {
            fleet.add_upstream(index).await;
        }
        fleet
    }

    async fn add_upstream(&mut self, index: usize) {
        let upstream = UpstreamVm::bind(any_port(), self.plan.service_ms)
            .await
            .expect("an upstream is bound");
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

    /// Starts one more member and lists its VM; returns its place.
    ///
    /// # Panics
    ///
    /// Where a loopback address cannot be bound.
    pub async fn add_member(&mut self) -> usize {
        self.started += 1;
        let mut settings = EntrySettings::example(&format!("entry-{}", self.started));
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

    /// Kills a member with all it has in flight, and takes its VM off the list.
    pub async fn kill_member(&mut self, place: usize) {
        let member = self.members.remove(place);
        let name = member.name().clone();
        drop(member);
        self.list.remove(name.as_str()).await;
    }

    /// Where callers reach a member.
    pub fn caller(&self, place: usize) -> SocketAddr {
        self.members[place % self.members.len()].addresses().caller
    }

    /// Where operators reach a member.
    pub fn admin(&self, place: usize) -> SocketAddr {
        self.members[place % self.members.len()].addresses().admin
    }

    /// Applies a catalogue file through a member's administration API.
    ///
    /// # Errors
    ///
    /// The member cannot be reached.
    pub async fn apply(&self, place: usize, text: &str) -> Result<ChangeResponse, CallerError> {
        let view: CatalogueView = self.get(place, "/v1/catalogue").await?;
        let edits = CatalogueFile::parse(text)?.edits(&view);
        let request = ChangeRequest {
            operator: "test".to_owned(),
            edits,
        };
        let body = serde_json::to_string(&request)?;
        exchange(self.admin(place), Method::POST, "/v1/catalogue", body).await
    }

    /// A view of a member's administration API.
    ///
    /// # Errors
    ///
    /// The member cannot be reached.
    pub async fn get<T: DeserializeOwned>(
        &self,
        place: usize,
        path: &str,
    ) -> Result<T, CallerError> {
        exchange(self.admin(place), Method::GET, path, String::new()).await
    }

    /// Waits until every member sees every listed VM serving.
    ///
    /// # Panics
    ///
    /// Where that takes longer than any wait should.
    pub async fn wait_until_settled(&self) {
        let workers = self.upstreams.len();
        let settled = async {
            let mut recheck = interval(RECHECK);
            loop {
                recheck.tick().await;
                let mut all = true;
                for place in 0..self.members.len() {
                    let views: Vec<VmView> = self.get(place, "/v1/vms").await.unwrap_or_default();
                    let serving = views.iter().filter(|view| view.phase == "serving").count();
                    all &= serving == workers;
                }
                if all {
                    return;
                }
            }
        };
        timeout(HANG_LIMIT, settled).await.expect("all VMs serve");
    }

    /// Waits until something holds of the system.
    ///
    /// # Panics
    ///
    /// Where that takes longer than any wait should.
    pub async fn wait_until(&self, what: &str, holds: impl Fn(&Self) -> bool) {
        let waited = async {
            let mut recheck = interval(RECHECK);
            while !holds(self) {
                recheck.tick().await;
            }
        };
        assert!(timeout(HANG_LIMIT, waited).await.is_ok(), "never: {what}");
    }

    /// Waits until something holds of a member's view.
    ///
    /// # Panics
    ///
    /// Where that takes longer than any wait should.
    pub async fn wait_for_view<T: DeserializeOwned>(
        &self,
        place: usize,
        path: &str,
        what: &str,
        holds: impl Fn(&T) -> bool,
    ) {
        let waited = async {
            let mut recheck = interval(RECHECK);
            loop {
                recheck.tick().await;
                if self.get(place, path).await.is_ok_and(|view| holds(&view)) {
                    return;
                }
            }
        };
        assert!(timeout(HANG_LIMIT, waited).await.is_ok(), "never: {what}");
    }

    /// How a pool stands, as a member sees it.
    ///
    /// # Errors
    ///
    /// The member cannot be reached or does not know the pool.
    pub async fn pool(&self, place: usize, pool: &str) -> Result<PoolView, CallerError> {
        let views: Vec<PoolView> = self.get(place, "/v1/pools").await?;
        let found = views.into_iter().find(|view| view.pool.as_str() == pool);
        found.ok_or_else(|| format!("pool {pool} is not known").into())
    }

    /// Runs of all upstreams, by order.
    pub async fn runs(&self) -> BTreeMap<String, u32> {
        let mut all = BTreeMap::new();
        for upstream in self.upstreams.values() {
            for (order, count) in upstream.runs().await {
                *all.entry(order).or_default() += count;
            }
        }
        all
    }
}

/// One exchange with an administration API.
async fn exchange<T: DeserializeOwned>(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: String,
) -> Result<T, CallerError> {
    let bytes = exchange_bytes(address, method, path, body).await?;
    Ok(serde_json::from_slice(&bytes)?)
}

async fn exchange_bytes(
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
    /// A deployment at its size of today: six members and fifty VMs.
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
    /// A member's metrics as text.
    ///
    /// # Errors
    ///
    /// The member cannot be reached.
    pub async fn metrics(&self, place: usize) -> Result<String, CallerError> {
        let bytes =
            exchange_bytes(self.admin(place), Method::GET, "/metrics", String::new()).await?;
        Ok(String::from_utf8(bytes.to_vec())?)
    }

    /// Where callers reach each member.
    pub fn callers(&self) -> Vec<SocketAddr> {
        self.members
            .iter()
            .map(|member| member.addresses().caller)
            .collect()
    }
}
