//! Encoding of ordered maps as sequences of pairs, which allows keys that are not strings.

use imbl::OrdMap;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Serialises a map as a sequence of pairs in key order.
pub(crate) fn serialize<K, V, S>(map: &OrdMap<K, V>, serializer: S) -> Result<S::Ok, S::Error>
where
    K: Ord + Clone + Serialize,
    V: Clone + Serialize,
    S: Serializer,
{
    serializer.collect_seq(map.iter())
}

/// Deserialises a map from a sequence of pairs.
pub(crate) fn deserialize<'de, K, V, D>(deserializer: D) -> Result<OrdMap<K, V>, D::Error>
where
    K: Ord + Clone + Deserialize<'de>,
    V: Clone + Deserialize<'de>,
    D: Deserializer<'de>,
{
    let pairs = Vec::<(K, V)>::deserialize(deserializer)?;
    Ok(pairs.into_iter().collect())
}
