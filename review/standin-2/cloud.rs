//! Machines and orders on them.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use crate::{
    http::{Reply, Request, Server, answer},
    json::{Json, number, table, text},
    record::Record,
    worker::Worker,
};

pub const UPKEEP: Duration = Duration::from_millis(2_000);

/// What the service does with a call for an upkeep.
#[derive(Clone, Copy, PartialEq)]
pub enum Treatment {
    Sound,
    /// Carries it out after this time and never answers.
    Late(Duration),
}

struct Machine {
    worker: Arc<Worker>,
    state: &'static str,
    fence: u64,
    done_waves: Vec<u64>,
    boots: u32,
}

#[derive(Clone)]
pub struct Cloud {
    machines: Arc<Mutex<BTreeMap<String, Machine>>>,
    /// Chooses the treatment of a call by its number, from 0, and its machine.
    treatment: Arc<Mutex<Box<dyn FnMut(usize, &str) -> Treatment + Send>>>,
    calls: Arc<Mutex<usize>>,
    /// Most machines that were down for one wave at once.
    pub most_down: Arc<Mutex<usize>>,
    record: Record,
}

impl Cloud {
    pub fn new(workers: &[Arc<Worker>], record: &Record) -> Cloud {
        let machines = workers.iter().map(|worker| {
            let machine = Machine {
                worker: worker.clone(),
                state: "up",
                fence: 0,
                done_waves: Vec::new(),
                boots: 1,
            };
            (worker.place.machine.clone(), machine)
        });
        Cloud {
            machines: Arc::new(Mutex::new(machines.collect())),
            treatment: Arc::new(Mutex::new(Box::new(|_, _| Treatment::Sound))),
            calls: Arc::default(),
            most_down: Arc::default(),
            record: record.clone(),
        }
    }

    pub fn treat(&self, treatment: impl FnMut(usize, &str) -> Treatment + Send + 'static) {
        *self.treatment.lock().unwrap() = Box::new(treatment);
    }

    pub fn start(&self, address: &str) -> std::io::Result<Server> {
        let cloud = self.clone();
        Server::start(address, Arc::new(move |request: &Request| cloud.handle(request)))
    }

    /// Number of machines whose upkeep has begun.
    pub fn kept_up(&self) -> usize {
        let machines = self.machines.lock().unwrap();
        machines.values().filter(|machine| !machine.done_waves.is_empty()).count()
    }

    fn handle(&self, request: &Request) -> Reply {
        match request.path.as_str() {
            "/v1/machines" => self.list(),
            "/v1/machine-upkeep" => self.receive(request),
            "/v1/machine-move" => answer(409, &table(&[("reason", text("busy"))])),
            _ => answer(404, &table(&[])),
        }
    }

    fn list(&self) -> Reply {
        let machines = self.machines.lock().unwrap();
        let rows = machines.iter().map(|(name, machine)| {
            let place = &machine.worker.place;
            let is_up = machine.state == "up" && machine.worker.is_up();
            let state = if machine.state == "up" && !is_up { "down" } else { machine.state };
            let id = if is_up { text(&machine.worker.id()) } else { text("") };
            table(&[
                ("machine", text(name)),
                ("pool", text(&place.pool)),
                ("state", text(state)),
                ("zone", text("zone-a")),
                ("labels", Json::List(vec![text("a"), text(&place.rack)])),
                (
                    "capacity",
                    table(&[
                        ("cpu", number(place.cpu)),
                        ("mem_mb", number(place.mem_mb)),
                        ("gpu", number(0)),
                    ]),
                ),
                ("id", id),
            ])
        });
        let rows = rows.collect();
        answer(200, &table(&[("machines", Json::List(rows)), ("next_token", Json::Null)]))
    }

    fn receive(&self, request: &Request) -> Reply {
        let body = request.json();
        let (name, wave) = (body.text("machine"), body.number("wave").unwrap_or(0));
        let fence = request.header("fencing-token").parse().unwrap_or(0);
        let call = {
            let mut calls = self.calls.lock().unwrap();
            *calls += 1;
            *calls - 1
        };
        let treatment = (self.treatment.lock().unwrap())(call, &name);
        let from = request.header("lease-holder");
        self.record.write(&format!("order  {call}: upkeep of {name} by {from} (fence {fence})"));
        match treatment {
            Treatment::Sound => {
                let (status, body) = self.carry_out(&name, wave, fence);
                self.record.write(&format!("answer {call}: {status} {}", body.write()));
                answer(status, &body)
            }
            Treatment::Late(delay) => {
                let cloud = self.clone();
                thread::spawn(move || {
                    thread::sleep(delay);
                    let (status, _) = cloud.carry_out(&name, wave, fence);
                    cloud.record.write(&format!("order  {call} is carried out late: {status}"));
                });
                Reply::Silence
            }
        }
    }

    fn carry_out(&self, name: &str, wave: u64, fence: u64) -> (u16, Json) {
        let refused = |reason| (409, table(&[("reason", text(reason))]));
        let mut machines = self.machines.lock().unwrap();
        let Some(machine) = machines.get_mut(name) else {
            return (400, table(&[]));
        };
        if fence < machine.fence {
            return refused("fence");
        }
        machine.fence = fence;
        if machine.done_waves.contains(&wave) {
            return (200, table(&[]));
        }
        if machine.state != "up" || !machine.worker.is_up() {
            return refused("busy");
        }
        machine.done_waves.push(wave);
        machine.state = "upkeep";
        machine.boots += 1;
        let (worker, id) = (machine.worker.clone(), format!("{name}-{}", machine.boots));
        worker.leave("goes down for its upkeep");
        let down = machines.values().filter(|machine| machine.state == "upkeep").count();
        let mut most_down = self.most_down.lock().unwrap();
        *most_down = down.max(*most_down);
        self.record.write(&format!("upkeep of {name} begins; {down} down"));
        let (cloud, name) = (self.clone(), name.to_owned());
        thread::spawn(move || {
            thread::sleep(UPKEEP);
            if let Some(machine) = cloud.machines.lock().unwrap().get_mut(&name) {
                machine.state = "up";
            }
            let _ = worker.come_back(&id, "a", Duration::ZERO);
        });
        (200, table(&[]))
    }
}
