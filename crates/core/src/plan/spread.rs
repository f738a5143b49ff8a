//! How a pool's VMs are spread over data centres.

use std::collections::BTreeMap;

use crate::{
    fold::FoldState,
    name::{DataCentre, PoolName},
};

/// VMs of a pool in each data centre, those on their way to it included.
#[derive(Clone, Debug, Default)]
pub(super) struct PoolSpread(BTreeMap<DataCentre, usize>);

impl PoolSpread {
    /// The spread of a pool as it stands.
    pub(super) fn of(state: &FoldState, pool: &PoolName) -> Self {
        let mut spread = Self::default();
        for vm in state.fleet().vms() {
            if vm.target().unwrap_or(vm.pool()) == pool {
                spread.add(&vm.identity().details.data_centre);
            }
        }
        spread
    }

    /// VMs in a data centre.
    pub(super) fn count(&self, centre: &DataCentre) -> usize {
        self.0.get(centre).copied().unwrap_or(0)
    }

    /// One more VM in a data centre.
    pub(super) fn add(&mut self, centre: &DataCentre) {
        *self.0.entry(centre.clone()).or_default() += 1;
    }
}
