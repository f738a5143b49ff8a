//! What members, operators, VMs and the network do of themselves.

use super::*;

impl World {
    pub(super) fn start(&mut self) {
        if self.members.len() > MEMBERS {
            return;
        }
        self.started += 1;
        let mut state = FoldState::default();
        if let Some(snapshot) = self.snapshots.last() {
            state = snapshot.clone();
            self.report.snapshot_starts += 1;
        }
        let slot = self.started % (MEMBERS as u64 + 1);
        let name = MemberName::new(&format!("m{slot}"));
        if self.members.iter().any(|member| member.name == name) {
            return;
        }
        self.gone.retain(|(gone, _)| *gone != name);
        let member = Member {
            name,
            nonce: self.started,
            seq: 0,
            state,
            pending: None,
            appended: 0,
            needed: 0,
            queue: Vec::new(),
            paused: 0,
            held: Vec::new(),
            claimed: BTreeSet::new(),
        };
        self.members.push(member);
        let place = self.members.len() - 1;
        while self.members[place].state.next_offset().0 < self.log.len() as u64 {
            self.read(place);
        }
        self.join(place);
    }

    pub(super) fn crash(&mut self, place: usize) {
        if self.members.len() < 2 {
            return;
        }
        let member = self.members.remove(place);
        self.report.crashes += 1;
        self.gone.push((member.name, member.nonce));
    }

    pub(super) fn dispatch(&mut self, place: usize, key: &ClaimKey, offset: Offset) {
        let member = &mut self.members[place];
        if !member.claimed.insert(key.clone()) {
            return;
        }
        *self.runs.entry(key.clone()).or_default() += 1;
        self.report.dispatches += 1;
        let step = Step::Settle {
            key: key.clone(),
            claim: offset,
            status: 200,
        };
        member.queue.push(step);
    }

    pub(super) fn come_late(&mut self) {
        if !self.late.is_empty() {
            let index = self.random.random_range(0..self.late.len());
            let record = self.late.remove(index);
            self.take_effect(record);
        }
    }

    /// Work is sent to a VM that the member sees serving.
    pub(super) fn work(&mut self, place: usize) {
        let member = &mut self.members[place];
        let live = member.state.members().is_live(&member.name, member.nonce);
        if member.paused > 0 || !live || member.held.len() > 3 {
            return;
        }
        let serving: Vec<&AnyVm> = member
            .state
            .fleet()
            .vms()
            .filter(|vm| vm.is_available())
            .collect();
        if serving.is_empty() {
            return;
        }
        let vm = serving[self.random.random_range(0..serving.len())];
        member
            .held
            .push((vm.identity().vm.clone(), vm.pool().clone()));
    }

    pub(super) fn finish(&mut self, place: usize) {
        let member = &mut self.members[place];
        if member.paused == 0 {
            member.held.pop();
        }
    }

    pub(super) fn claim(&mut self, place: usize) {
        let number = self.random.random_range(0..KEYS) + 10 * (self.log.len() as u64 / 100);
        let key = ClaimKey {
            work: WorkName::new("melt"),
            key: Arc::from(format!("k{number}").as_str()),
        };
        let member = &mut self.members[place];
        if member.paused > 0 || member.state.claims().get(&key).is_some() {
            return;
        }
        member.queue.push(Step::Claim {
            key: key.clone(),
            digest: number,
        });
        if self.fault == Some(PlantedFault::DispatchUnclaimed) {
            self.dispatch(place, &key, Offset(0));
        }
    }

    /// An operator edits an entry as this member shows it.
    pub(super) fn operate(&mut self, place: usize) {
        let number = self.random.random_range(0..4);
        let weight = self.random.random_range(1..100);
        let (entry, body) = match number {
            0 => {
                let states = [WaveState::Running, WaveState::Paused, WaveState::Aborted];
                let state = states[self.random.random_range(0..3)];
                let pools = vec![PoolName::new("a"), PoolName::new("b")];
                let wave = format!("wave{}", self.random.random_range(0..3));
                (
                    EntryId::new(EntryKind::Wave, &wave),
                    EntryBody::Wave(WaveEntry { pools, state }),
                )
            }
            1 => {
                let base = self.random.random_range(2..5);
                (
                    EntryId::new(EntryKind::Pool, "a"),
                    pool_entry(base, 2, false),
                )
            }
            _ => {
                let owner = OwnerEntry {
                    weight,
                    max_running: 10,
                    max_queued: 10,
                };
                (
                    EntryId::new(EntryKind::Owner, &format!("o{number}")),
                    EntryBody::Owner(owner),
                )
            }
        };
        let member = &mut self.members[place];
        let based_on = member
            .state
            .catalogue()
            .record(&entry)
            .map(|slot| slot.revision);
        let edits = vec![CatalogueEdit {
            entry,
            based_on,
            body: Some(body),
        }];
        member.queue.push(Step::Catalogue(CatalogueChange {
            operator: "op".to_owned(),
            edits,
        }));
    }

    pub(super) fn lose_or_return(&mut self) {
        let lost = self
            .listing
            .values()
            .filter(|listed| listed.status == ListedStatus::Leaving)
            .count();
        let names: Vec<VmName> = self.listing.keys().cloned().collect();
        let name = &names[self.random.random_range(0..names.len())];
        let Some(listed) = self.listing.get_mut(name) else {
            return;
        };
        listed.status = match listed.status {
            ListedStatus::Live if lost == 0 => ListedStatus::Leaving,
            _ => ListedStatus::Live,
        };
    }

    pub(super) fn reboot(&mut self, place: usize) {
        let state = self.members[place].state.clone();
        for vm in state.fleet().vms() {
            let AnyVm::Rebooting(rebooting) = vm else {
                continue;
            };
            let name = &rebooting.identity.vm;
            let booted = self.listing.get(name).map(|listed| listed.details.boot);
            if booted == Some(rebooting.phase.old_boot)
                && let Some(listed) = self.listing.remove(name)
            {
                self.rebooting.insert(name.clone(), listed);
            }
        }
    }

    pub(super) fn reboot_done(&mut self) {
        if let Some((name, mut listed)) = self.rebooting.pop_first() {
            listed.details.boot += 1;
            self.listing.insert(name, listed);
        }
    }

    pub(super) fn snapshot(&mut self, place: usize) {
        let oldest = self.snapshots.first().cloned();
        if let (Some(PlantedFault::LoadOldSnapshot), Some(oldest)) = (self.fault, oldest) {
            self.members[place].state = oldest;
            self.note_state(place);
        }
        let state = self.members[place].state.clone();
        let newest = self.snapshots.last().and_then(FoldState::folded);
        if state.folded() > newest {
            self.snapshots.push(state);
        }
    }
}
