//! Consumer group of the store.

use std::{
    collections::{BTreeMap, HashMap},
    time::{Duration, Instant},
};

use serde::Deserialize;
use serde_json::{Value, json};

/// Number of partitions of a topic.
const PARTITIONS: u32 = 16;

#[derive(Debug, Deserialize)]
pub(super) struct JoinRequest {
    member: String,
    topics: Vec<String>,
    ttl_ms: u64,
}

#[derive(Debug, Deserialize)]
pub(super) struct LeaveRequest {
    pub(super) member: String,
}

/// Member of the group.
struct GroupMember {
    expires_at: Instant,
}

/// Members and the partitions that are assigned to them.
#[derive(Default)]
pub(super) struct ConsumerGroup {
    members: BTreeMap<String, GroupMember>,
    /// Owner of each partition.
    owners: BTreeMap<u32, String>,
    topic: String,
    generation: u64,
}

impl ConsumerGroup {
    pub(super) fn join(&mut self, join: &JoinRequest) -> Value {
        self.expire();
        self.topic = join.topics.first().cloned().unwrap_or_default();
        let ttl = Duration::from_millis(join.ttl_ms);
        let expires_at = Instant::now() + ttl;
        let member = GroupMember { expires_at };
        if self.members.insert(join.member.clone(), member).is_none() {
            self.rebalance();
        }
        let owned = self
            .owners
            .iter()
            .filter(|(_, owner)| **owner == join.member);
        let topic = &self.topic;
        let parts: Vec<Value> = owned
            .map(|(partition, _)| json!([topic, partition, 0]))
            .collect();
        json!({"generation": self.generation, "parts": parts})
    }

    pub(super) fn leave(&mut self, member: &str) {
        self.members.remove(member);
        self.rebalance();
    }

    /// Owner of each partition as rows.
    pub(super) fn rows(&mut self) -> Value {
        self.expire();
        let topic = &self.topic;
        let rows = self.owners.iter();
        let rows = rows.map(|(partition, member)| json!([topic, partition, member, 0]));
        json!({"parts": rows.collect::<Vec<_>>()})
    }

    /// Assigns all partitions to the newest member whose key begins with `prefix`.
    pub(super) fn assign_all(&mut self, prefix: &str) -> bool {
        self.expire();
        let mut keys = self.members.keys().rev();
        let Some(member) = keys.find(|key| key.starts_with(prefix)).cloned() else {
            return false;
        };
        self.generation += 1;
        for owner in self.owners.values_mut() {
            owner.clone_from(&member);
        }
        true
    }

    /// Removes the members that have not renewed their membership in time.
    fn expire(&mut self) {
        let now = Instant::now();
        let before = self.members.len();
        self.members.retain(|_, member| member.expires_at > now);
        if self.members.len() != before {
            self.rebalance();
        }
    }

    /// Assigns the partitions evenly. A partition keeps its owner unless that owner has left or
    /// already has its share.
    fn rebalance(&mut self) {
        self.generation += 1;
        let names: Vec<String> = self.members.keys().cloned().collect();
        if names.is_empty() {
            self.owners.clear();
            return;
        }
        let max_share = (PARTITIONS as usize).div_ceil(names.len());
        let mut shares: HashMap<String, usize> = HashMap::new();
        for partition in 0..PARTITIONS {
            let current = self.owners.get(&partition).filter(|owner| {
                names.contains(owner) && shares.get(*owner).copied().unwrap_or(0) < max_share
            });
            let least_loaded = names
                .iter()
                .min_by_key(|name| shares.get(*name).copied().unwrap_or(0));
            let Some(owner) = current.or(least_loaded).cloned() else {
                return;
            };
            *shares.entry(owner.clone()).or_default() += 1;
            self.owners.insert(partition, owner);
        }
    }
}
