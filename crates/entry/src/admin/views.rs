//! Views: what operators read, made from the agreed state.

use jacinthhoist_codec::{
    CatalogueView, EntryView, InForceView, MemberView, PoolView, StatusView, VmView, WaveView,
};
use jacinthhoist_core::{ClockTime, Offset, WaveName, wave_progress};

use crate::context::MemberContext;

pub(super) fn status(context: &MemberContext) -> StatusView {
    let state = context.state.load();
    let waits_for = context.waits_for().map(str::to_owned);
    let wave =
        |(name, entry): (&jacinthhoist_core::EntryName, &jacinthhoist_core::WaveEntry)| WaveView {
            wave: WaveName::new(name.as_str()),
            state: entry.state,
            progress: wave_progress(&state, name, entry),
        };
    StatusView {
        member: context.name.clone(),
        nonce: context.nonce,
        ready: waits_for.is_none(),
        waits_for,
        folded: state.folded(),
        catalogue: state.catalogue().revision(),
        log_age_ms: context.log_age().map(ClockTime::as_millis),
        members: state.members().live().count(),
        claims: state.claims().len(),
        waves: state.catalogue().waves().map(wave).collect(),
    }
}

pub(super) fn catalogue(context: &MemberContext) -> CatalogueView {
    let state = context.state.load();
    let entries = state
        .catalogue()
        .entries()
        .map(|(id, slot, body)| EntryView {
            entry: id.clone(),
            revision: slot.revision,
            body: Some(body.clone()),
        });
    let removed = state.catalogue().removed().map(|(id, revision)| EntryView {
        entry: id.clone(),
        revision,
        body: None,
    });
    let entries = entries.chain(removed).collect();
    CatalogueView {
        revision: state.catalogue().revision(),
        entries,
    }
}

pub(super) fn pools(context: &MemberContext) -> Vec<PoolView> {
    let state = context.state.load();
    let routes = context.routes.load();
    let counts = state.fleet().counts();
    let view = |(pool, entry): (jacinthhoist_core::PoolName, &jacinthhoist_core::PoolEntry)| {
        let route = routes.pools.get(&pool);
        PoolView {
            spare: entry.spare,
            min_available: entry.min_available,
            max_unavailable: entry.max_unavailable,
            count: counts.get(&pool).copied().unwrap_or_default(),
            running: route.map_or(0, |route| route.held()),
            waiting: route.map_or(0, |route| route.waiting()),
            pool,
        }
    };
    state.catalogue().pools().map(view).collect()
}

pub(super) fn vms(context: &MemberContext) -> Vec<VmView> {
    let state = context.state.load();
    let view = |vm: &jacinthhoist_core::AnyVm| {
        let identity = vm.identity();
        let details = &identity.details;
        VmView {
            vm: identity.vm.clone(),
            pool: vm.pool().clone(),
            phase: vm.phase().to_owned(),
            sight: identity.status,
            data_centre: details.data_centre.clone(),
            rack: details.rack.clone(),
            boot: details.boot,
            address: details.address.clone(),
        }
    };
    state.fleet().vms().map(view).collect()
}

pub(super) fn members(context: &MemberContext) -> Vec<MemberView> {
    let state = context.state.load();
    let peers = context.peers.views();
    let now = context.clock.now();
    let silent = ClockTime::from_millis(context.settings.limits.silent_ms);
    let view = |record: &jacinthhoist_core::MemberRecord| {
        let join = &record.join;
        let own = join.member == context.name;
        let peer = peers.get(&join.member);
        MemberView {
            member: join.member.clone(),
            nonce: join.nonce,
            data_centre: join.data_centre.clone(),
            peer_address: join.peer_address.clone(),
            heard: own || !context.peers.is_suspected(&join.member, now, silent),
            folded: if own {
                state.folded()
            } else {
                peer.and_then(|peer| peer.folded)
            },
        }
    };
    state.members().live().map(view).collect()
}

pub(super) fn in_force(context: &MemberContext, offset: Offset) -> InForceView {
    let behind = members(context)
        .into_iter()
        .filter(|member| member.folded < Some(offset));
    let behind: Vec<_> = behind.map(|member| member.member).collect();
    InForceView {
        offset,
        everywhere: behind.is_empty(),
        behind,
    }
}
