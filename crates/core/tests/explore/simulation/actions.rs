//! Actions of members, operators, VMs and the network.

use super::*;

impl ClusterSimulation {
    pub(super) fn start_member(&mut self) {
        if self.members.len() > MEMBER_COUNT {
            return;
        }
        self.start_count += 1;
        let mut state = FoldState::default();
        if let Some(snapshot) = self.snapshots.last() {
            state = snapshot.clone();
            self.report.snapshot_starts += 1;
        }
        let number = self.start_count % (MEMBER_COUNT as u64 + 1);
        let name = MemberName::new(&format!("m{number}"));
        if self.members.iter().any(|member| member.name == name) {
            return;
        }
        self.crashed.retain(|(crashed, _)| *crashed != name);
        let member = Member {
            name,
            nonce: self.start_count,
            seq: 0,
            state,
            pending: None,
            append_count: 0,
            record_count: 0,
            unsent_steps: Vec::new(),
            paused_steps: 0,
            in_flight: Vec::new(),
            dispatched: BTreeSet::new(),
        };
        self.members.push(member);
        let index = self.members.len() - 1;
        while self.members[index].state.next_offset().0 < self.log.len() as u64 {
            self.read_records(index);
        }
        self.join(index);
    }

    pub(super) fn crash_member(&mut self, index: usize) {
        if self.members.len() < 2 {
            return;
        }
        let member = self.members.remove(index);
        self.report.crashes += 1;
        self.crashed.push((member.name, member.nonce));
    }

    pub(super) fn dispatch(&mut self, index: usize, key: &ClaimKey, offset: Offset) {
        let member = &mut self.members[index];
        if !member.dispatched.insert(key.clone()) {
            return;
        }
        *self.runs.entry(key.clone()).or_default() += 1;
        self.report.dispatches += 1;
        let step = Step::Settle {
            key: key.clone(),
            claim: offset,
            status: 200,
        };
        member.unsent_steps.push(step);
    }

    pub(super) fn deliver_delayed(&mut self) {
        if !self.delayed.is_empty() {
            let index = self.random.random_range(0..self.delayed.len());
            let record = self.delayed.remove(index);
            self.append_to_log(record);
        }
    }

    /// Sends work to a VM that the member considers available.
    pub(super) fn start_work(&mut self, index: usize) {
        let member = &mut self.members[index];
        let is_live = member.state.members().is_live(&member.name, member.nonce);
        if member.paused_steps > 0 || !is_live || member.in_flight.len() > 3 {
            return;
        }
        let candidates: Vec<&AnyVm> = member
            .state
            .fleet()
            .vms()
            .filter(|vm| vm.is_available())
            .collect();
        if candidates.is_empty() {
            return;
        }
        let vm = candidates[self.random.random_range(0..candidates.len())];
        member
            .in_flight
            .push((vm.identity().vm.clone(), vm.pool().clone()));
    }

    pub(super) fn finish_work(&mut self, index: usize) {
        let member = &mut self.members[index];
        if member.paused_steps == 0 {
            member.in_flight.pop();
        }
    }

    pub(super) fn claim_key(&mut self, index: usize) {
        let number = self.random.random_range(0..KEY_COUNT) + 10 * (self.log.len() as u64 / 100);
        let key = ClaimKey {
            work: WorkName::new("melt"),
            key: Arc::from(format!("k{number}").as_str()),
        };
        let member = &mut self.members[index];
        if member.paused_steps > 0 || member.state.claims().get(&key).is_some() {
            return;
        }
        member.unsent_steps.push(Step::Claim {
            key: key.clone(),
            digest: number,
        });
        if self.fault == Some(InjectedFault::DispatchBeforeClaim) {
            self.dispatch(index, &key, Offset(0));
        }
    }

    /// Edits a catalogue entry based on the revision that this member has.
    pub(super) fn edit_catalogue(&mut self, index: usize) {
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
        let member = &mut self.members[index];
        let based_on = member
            .state
            .catalogue()
            .record(&entry)
            .map(|record| record.revision);
        let edits = vec![CatalogueEdit {
            entry,
            based_on,
            body: Some(body),
        }];
        member.unsent_steps.push(Step::Catalogue(CatalogueChange {
            operator: "op".to_owned(),
            edits,
        }));
    }

    pub(super) fn toggle_leaving(&mut self) {
        let leaving = self
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
            ListedStatus::Live if leaving == 0 => ListedStatus::Leaving,
            _ => ListedStatus::Live,
        };
    }

    pub(super) fn start_reboots(&mut self, index: usize) {
        let state = self.members[index].state.clone();
        for vm in state.fleet().vms() {
            let AnyVm::Rebooting(rebooting) = vm else {
                continue;
            };
            let name = &rebooting.identity.vm;
            let listed_boot = self.listing.get(name).map(|listed| listed.details.boot);
            if listed_boot == Some(rebooting.phase.old_boot)
                && let Some(listed) = self.listing.remove(name)
            {
                self.rebooting.insert(name.clone(), listed);
            }
        }
    }

    pub(super) fn complete_reboot(&mut self) {
        if let Some((name, mut listed)) = self.rebooting.pop_first() {
            listed.details.boot += 1;
            self.listing.insert(name, listed);
        }
    }

    pub(super) fn take_snapshot(&mut self, index: usize) {
        let oldest = self.snapshots.first().cloned();
        if let (Some(InjectedFault::LoadOldSnapshot), Some(oldest)) = (self.fault, oldest) {
            self.members[index].state = oldest;
            self.check_revisions(index);
        }
        let state = self.members[index].state.clone();
        let newest = self.snapshots.last().and_then(FoldState::folded);
        if state.folded() > newest {
            self.snapshots.push(state);
        }
    }
}
