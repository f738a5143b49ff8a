//! Division of a VM's slots and connections among the members without a central counter.

use smallvec::SmallVec;
use xxhash_rust::xxh3::Xxh3;

use crate::name::{MemberName, VmName};

/// Returns the rendezvous-hashing weight of a member for a subject.
fn weight(member: &str, subject: &str) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(member.as_bytes());
    hasher.update(&[0]);
    hasher.update(subject.as_bytes());
    hasher.digest()
}

/// Returns the rank of a member for a subject by rendezvous hashing; rank 0 has the highest weight.
///
/// ```
/// use jacinthhoist_core::{rendezvous_rank, MemberName};
/// let members = [MemberName::new("a"), MemberName::new("b")];
/// let ranks: Vec<_> = members.iter().map(|m| rendezvous_rank(&members, m, "x")).collect();
/// assert!(ranks.contains(&0) && ranks.contains(&1));
/// ```
pub fn rendezvous_rank(members: &[MemberName], member: &MemberName, subject: &str) -> usize {
    let own = (weight(member.as_str(), subject), member);
    members
        .iter()
        .filter(|other| (weight(other.as_str(), subject), *other) > own)
        .count()
}

/// Returns the member that owns a slot of a VM; slots are assigned round-robin in rendezvous order.
pub fn slot_owner<'a>(members: &'a [MemberName], vm: &VmName, slot: u32) -> Option<&'a MemberName> {
    let mut ranked: SmallVec<[&MemberName; 8]> = members.iter().collect();
    ranked.sort_by_key(|member| std::cmp::Reverse(weight(member.as_str(), vm.as_str())));
    let rank = slot as usize % ranked.len().max(1);
    ranked.get(rank).copied()
}

/// Returns the number of a VM's slots that a member owns.
///
/// ```
/// use jacinthhoist_core::{slot_share, MemberName, VmName};
/// let members = [MemberName::new("a"), MemberName::new("b"), MemberName::new("c")];
/// let vm = VmName::new("w1");
/// let shares: u32 = members.iter().map(|m| slot_share(&members, m, &vm, 8)).sum();
/// assert_eq!(shares, 8);
/// ```
pub fn slot_share(members: &[MemberName], member: &MemberName, vm: &VmName, slots: u32) -> u32 {
    let count = members.len() as u32;
    if !members.contains(member) {
        return 0;
    }
    let rank = rendezvous_rank(members, member, vm.as_str()) as u32;
    slots / count + u32::from(rank < slots % count)
}

/// Returns the number of connections that a member may open to one VM.
///
/// The divisor is the maximum number of live members, so the sum over all members stays within the
/// VM's limit even while members disagree about which members are live.
pub fn connection_share(vm_connections: u32, max_members: u32) -> u32 {
    (vm_connections / max_members.max(1)).max(1)
}
