//! Shared immutable names that are cheap to clone and compare by content.

use std::{borrow::Borrow, fmt, sync::Arc};

use serde::{Deserialize, Serialize};

macro_rules! shared_name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Creates a shared name from text.
            pub fn new(text: &str) -> Self {
                Self(Arc::from(text))
            }

            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Debug::fmt(&*self.0, f)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self::new(text)
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }
    };
}

shared_name! {
    /// Name of a pool of VMs.
    PoolName
}
shared_name! {
    /// Name of a kind of work in the catalogue.
    WorkName
}
shared_name! {
    /// Name of a team that owns work.
    OwnerName
}
shared_name! {
    /// Name of a tenant that submits jobs.
    TenantName
}
shared_name! {
    /// Name of a VM that serves as an upstream.
    VmName
}
shared_name! {
    /// Name of an entry member.
    MemberName
}
shared_name! {
    /// Name of a data centre.
    DataCentre
}
shared_name! {
    /// Name of a rack within a data centre.
    RackName
}
shared_name! {
    /// Name of a maintenance wave.
    WaveName
}
shared_name! {
    /// Name of a catalogue entry of any kind.
    EntryName
}
shared_name! {
    /// Id under which a VM registered with a pool; each registration has a new one.
    WorkerId
}
