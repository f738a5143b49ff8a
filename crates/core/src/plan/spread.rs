//! Distribution of a pool's VMs over data centres.

use std::collections::BTreeMap;

use crate::{
    fold::FoldState,
    name::{DataCentre, PoolName},
};

/// Number of a pool's VMs in each data centre, including VMs that are moving to the pool.
#[derive(Clone, Debug, Default)]
pub(super) struct PoolSpread(BTreeMap<DataCentre, usize>);

impl PoolSpread {
    /// Computes the current distribution of a pool.
    pub(super) fn of(state: &FoldState, pool: &PoolName) -> Self {
        let mut spread = Self::default();
        for vm in state.fleet().vms() {
            if vm.target().unwrap_or(vm.pool()) == pool {
                spread.add(&vm.identity().details.data_centre);
            }
        }
        spread
    }

    /// Returns the number of VMs in a data centre.
    pub(super) fn count(&self, data_centre: &DataCentre) -> usize {
        self.0.get(data_centre).copied().unwrap_or(0)
    }

    /// Adds a VM in a data centre.
    pub(super) fn add(&mut self, data_centre: &DataCentre) {
        *self.0.entry(data_centre.clone()).or_default() += 1;
    }
}
