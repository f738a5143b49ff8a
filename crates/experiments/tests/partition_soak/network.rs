//! Links between the members and everything that they call, and partitions of this network.

use std::{collections::BTreeMap, io, net::SocketAddr, sync::Arc};

use jacinthhoist_experiments::soak::{LinkDirection, LoopbackLink};

use crate::member::LinkAddresses;

/// Process that members call, or a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum NetworkNode {
    /// Store of the platform.
    Store,
    /// VM service.
    Vms,
    /// Worker with this index.
    Worker(usize),
    /// Member with this index.
    Member(usize),
}

/// Bytes that a partition holds back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CutKind {
    /// In both directions.
    Both,
    /// From the smaller side to the larger one.
    Outbound,
    /// From the larger side to the smaller one.
    Inbound,
}

/// Links of all members.
pub(crate) struct SoakNetwork {
    links: Vec<BTreeMap<NetworkNode, LoopbackLink>>,
}

impl SoakNetwork {
    /// Opens a link from each of the members to each target but itself.
    pub(crate) fn open(members: usize, targets: &[(NetworkNode, SocketAddr)]) -> io::Result<Self> {
        let links = (0..members).map(|index| {
            let others = targets
                .iter()
                .filter(|(node, _)| *node != NetworkNode::Member(index));
            let links = others.map(|(node, target)| Ok((*node, LoopbackLink::open(*target)?)));
            links.collect::<io::Result<BTreeMap<_, _>>>()
        });
        Ok(Self {
            links: links.collect::<io::Result<_>>()?,
        })
    }

    /// Addresses of a member's links by those of their targets.
    pub(crate) fn addresses(&self, member: usize) -> LinkAddresses {
        let links = self.links[member].values();
        Arc::new(links.map(|link| (link.target, link.address)).collect())
    }

    /// Address of the link from a member to a node.
    pub(crate) fn address(&self, member: usize, node: NetworkNode) -> SocketAddr {
        self.links[member][&node].address
    }

    /// Refuses connections to a member that has ended.
    pub(crate) fn set_member_down(&self, member: usize, down: bool) {
        let links = self.links.iter();
        for link in links.filter_map(|links| links.get(&NetworkNode::Member(member))) {
            link.set_target_down(down);
        }
    }

    /// Resets the connections of one member.
    pub(crate) fn reset_member(&self, member: usize) {
        self.links[member].values().for_each(LoopbackLink::reset);
    }

    /// Separates the nodes in `small` from the others until the cut is dropped.
    pub(crate) fn cut(&self, small: &[NetworkNode], kind: CutKind, reset: bool) -> NetworkCut<'_> {
        let mut cut = NetworkCut { held: Vec::new() };
        for (index, links) in self.links.iter().enumerate() {
            let from_small = small.contains(&NetworkNode::Member(index));
            for (node, link) in links {
                if small.contains(node) == from_small {
                    continue;
                }
                let forward = match kind {
                    CutKind::Both => true,
                    CutKind::Outbound => from_small,
                    CutKind::Inbound => !from_small,
                };
                if forward {
                    cut.hold(link, LinkDirection::Forward);
                }
                if !forward || kind == CutKind::Both {
                    cut.hold(link, LinkDirection::Backward);
                }
                if reset {
                    link.reset();
                }
            }
        }
        cut
    }

    /// Holds back all calls to one node until the cut is dropped.
    pub(crate) fn isolate(&self, node: NetworkNode) -> NetworkCut<'_> {
        self.cut(&[node], CutKind::Both, false)
    }
}

/// Partition in force.
pub(crate) struct NetworkCut<'a> {
    held: Vec<(&'a LoopbackLink, LinkDirection)>,
}

impl<'a> NetworkCut<'a> {
    fn hold(&mut self, link: &'a LoopbackLink, direction: LinkDirection) {
        link.hold(direction);
        self.held.push((link, direction));
    }
}

impl Drop for NetworkCut<'_> {
    fn drop(&mut self) {
        for (link, direction) in &self.held {
            link.release(*direction);
        }
    }
}
