//! Fakes of the users' platform: the log with its groups, the workers, the list of machines and the
//! policy service.
//!
//! They speak the published protocol on loopback and can simulate faults. [`FakePlatform`] combines
//! them into one installation.

mod gang;
mod machines;
mod policy;
mod pool_worker;
mod store;
mod topic;

pub use gang::GangTable;
pub use machines::MachineService;
pub use policy::{PolicyFigures, PolicyService};
use pool_worker::DEFAULT_LONGEST_LEASE;
pub use pool_worker::{PoolWorker, RunRecord, WorkerFault};
use store::{CALL_BYTES, RECORD_BYTES};
pub use store::{KeyedLog, StoreEndpoint, StoreFault};

use std::{
    net::SocketAddr,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use serde_json::{Value, json};

/// Interval at which a worker renews its entry in the store.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);

/// Installation of all platform services and the workers of some pools.
pub struct FakePlatform {
    /// Log that stores the state of the scheduler.
    pub store: KeyedLog,
    /// Service that lists the machines.
    pub machines: MachineService,
    /// Service that permits workers for a step.
    pub policy: PolicyService,
    /// Workers of all pools.
    pub workers: Vec<PoolWorker>,
    longest_lease: Duration,
    /// Time within which members must refuse withdrawn keys, if settings files state one.
    revocation: Option<Duration>,
}

impl FakePlatform {
    /// Starts an installation on loopback with `workers_per_pool` workers in each pool.
    ///
    /// # Errors
    ///
    /// An address cannot be bound.
    pub async fn spawn(pools: &[&str], workers_per_pool: usize) -> std::io::Result<Self> {
        Self::spawn_beating(pools, workers_per_pool, HEARTBEAT_INTERVAL).await
    }

    /// Starts an installation whose workers renew their entries at this interval; a worker that has
    /// restarted is registered at the next heartbeat.
    ///
    /// # Errors
    ///
    /// An address cannot be bound.
    pub async fn spawn_beating(
        pools: &[&str],
        workers_per_pool: usize,
        heartbeat: Duration,
    ) -> std::io::Result<Self> {
        let store = KeyedLog::spawn().await?;
        let machines = MachineService::spawn().await?;
        let policy = PolicyService::spawn().await?;
        let (mut workers, gangs) = (Vec::new(), GangTable::default());
        for pool in pools {
            for number in 0..workers_per_pool {
                let id = format!("i-{pool}-{number}");
                let worker = PoolWorker::spawn(&id, pool, store.clone(), gangs.clone(), heartbeat);
                let worker = worker.await?;
                machines.add(&format!("m-{pool}-{number}"), pool, &id);
                workers.push(worker);
            }
        }
        Ok(Self {
            store,
            machines,
            policy,
            workers,
            longest_lease: DEFAULT_LONGEST_LEASE,
            revocation: None,
        })
    }

    /// Sets the longest lease that the workers grant and that settings files state from now on.
    pub async fn set_longest_lease(&mut self, longest: Duration) {
        self.longest_lease = longest;
        for worker in &self.workers {
            worker.set_longest_lease(longest).await;
        }
    }

    /// Sets the time that settings files state from now on for the refusal of withdrawn keys.
    pub fn set_revocation(&mut self, revocation: Duration) {
        self.revocation = Some(revocation);
    }

    /// Writes the operators' configuration: one route for each pool, with the pool's name.
    pub fn configure(&self, version: u64, pools: &[&str]) {
        self.write_config(
            version,
            pools,
            pools.iter().map(|pool| route(pool)).collect(),
            None,
        );
    }

    /// Writes the configuration of [`FakePlatform::configure`] with tenants, given as the platform writes
    /// them. The routes of the pools in `public` need no key.
    pub fn configure_tenants(&self, version: u64, pools: &[&str], public: &[&str], tenants: Value) {
        let with_key = |pool: &&str| {
            let mut route = route(pool);
            route["public"] = json!(public.contains(pool));
            route
        };
        let routes = pools.iter().map(with_key).collect();
        self.write_config(version, pools, routes, Some(tenants));
    }

    /// Writes the configuration of [`FakePlatform::configure`] with routes that ask the policy
    /// service for workers. From now on the workers require its tickets.
    pub fn configure_with_policy(&self, version: u64, pools: &[&str]) {
        let with_advice = |pool: &&str| {
            let mut route = route(pool);
            route["advice"] = json!({"decide_ms": 1, "each_ms": 1, "valid_ms": 1_000});
            route
        };
        for worker in &self.workers {
            worker.require_tickets();
        }
        let routes = pools.iter().map(with_advice).collect();
        self.write_config(version, pools, routes, None);
    }

    /// Writes a configuration with numbers beyond those of usual ones: routes that ask a policy service with these
    /// figures, and may fail very often. From now on the workers require its tickets, which end.
    pub fn configure_with_figures(&self, version: u64, pools: &[&str], figures: PolicyFigures) {
        let PolicyFigures {
            decide_ms,
            each_ms,
            valid_ms,
        } = figures;
        let with_advice = |pool: &&str| {
            let mut route = route(pool);
            route["advice"] =
                json!({"decide_ms": decide_ms, "each_ms": each_ms, "valid_ms": valid_ms});
            route["max_attempts"] = json!(70_000);
            route["priority"] = json!(5_000_000_000_u64);
            route
        };
        let workers: Vec<&str> = self.workers.iter().map(PoolWorker::id).collect();
        self.policy.permit(&workers);
        self.policy.set_figures(figures);
        for worker in &self.workers {
            worker.require_tickets();
        }
        let routes = pools.iter().map(with_advice).collect();
        self.write_config(version, pools, routes, None);
    }

    fn write_config(
        &self,
        version: u64,
        pools: &[&str],
        routes: Vec<Value>,
        tenants: Option<Value>,
    ) {
        let service =
            |pool: &&str| json!({"name": pool, "max_conns": 64, "rejects_overload": true});
        let services: Vec<Value> = pools.iter().map(service).collect();
        let mut config = json!({"version": version, "routes": routes, "services": services});
        if let Some(tenants) = tenants {
            config["tenants"] = tenants;
        }
        self.store.put("keyed.op", "config", &config);
    }

    /// Text of the settings file of a member that reaches the store at `store`.
    pub fn settings(&self, name: &str, ports: [u16; 3], store: SocketAddr) -> String {
        let [front, ready, peer] = ports;
        let peer_end = peer.saturating_add(1);
        let machines = self.machines.address();
        let policy = self.policy.address();
        let hold_max_ms = self.longest_lease.as_millis();
        let revocation = self.revocation.map(|revocation| {
            format!(
                "strict_revoke = true\nrevoke_ms = {}\n",
                revocation.as_millis()
            )
        });
        let revocation = revocation.unwrap_or_default();
        format!(
            "node_name = \"{name}\"\nip = \"127.0.0.1\"\nzone = \"dc-1\"\nport_range = [{peer}, {peer_end}]\n\
             unknown_field = true\nadvice = \"{policy}\"\n\
             [listen]\nfront = \"127.0.0.1:{front}\"\nready = \"127.0.0.1:{ready}\"\n\
             [bounds]\nhold_max_ms = {hold_max_ms}\nmove_s = 0.2\nupkeep_s = 0.2\nstatus_s = 120\ngrace_s = 6\n{revocation}\
             [platform]\naddress = \"{store}\"\nttl_min_ms = 1000\n\
             record_bytes = {RECORD_BYTES}\ncall_bytes = {CALL_BYTES}\n\
             [cloud_api]\naddress = \"{machines}\"\n"
        )
    }
}

/// Job of one step. The payload sets what its tasks do, see [`PoolWorker`].
pub fn sample_job(count: u16, payload: &str) -> Value {
    json!({"task_spec": payload, "steps": [{"count": count, "cpu": 1_000, "mem_mb": 100}]})
}

/// The job, run a number of times from a time of day on.
pub fn repeated_job(mut job: Value, times: u32, start: SystemTime, interval: Duration) -> Value {
    let start = start.duration_since(UNIX_EPOCH).unwrap_or_default();
    job["repeats"] = json!(times);
    job["start_at_ms"] = json!(start.as_millis() as u64);
    job["interval_ms"] = json!(interval.as_millis() as u64);
    job
}

/// Job like [`sample_job`] whose tasks run only on workers with a label.
pub fn labelled_job(count: u16, payload: &str, label: &str) -> Value {
    let mut job = sample_job(count, &format!("needs={label},{payload}"));
    job["steps"][0]["requires"] = json!(label);
    job
}

/// Job whose tasks run until it is cancelled.
pub fn long_running_job(count: u16) -> Value {
    let step = json!({"count": count, "cpu": 2_000, "long_running": true, "may_miss": 1});
    json!({"task_spec": "lasts", "steps": [step]})
}

fn route(pool: &str) -> Value {
    json!({
        "name": pool,
        "host": format!("{pool}.example"),
        "path_prefix": "/jobs/",
        "service": pool,
        "timeout_ms": 3_000,
        "slo_ms": 600,
        "priority": 0,
        "max_attempts": 2,
        "stretch": 2.0,
    })
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}
