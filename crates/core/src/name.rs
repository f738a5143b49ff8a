//! Shared immutable names: cheap to clone, compared by content.

use std::{borrow::Borrow, fmt, sync::Arc};

use serde::{Deserialize, Serialize};

macro_rules! shared_name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Makes a shared name from text.
            pub fn new(text: &str) -> Self {
                Self(Arc::from(text))
            }

            /// The name as text.
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
    /// A pool of VMs.
    PoolName
}
shared_name! {
    /// A kind of work in the catalogue.
    WorkName
}
shared_name! {
    /// A team that owns work.
    OwnerName
}
shared_name! {
    /// A VM that serves as an upstream.
    VmName
}
shared_name! {
    /// An entry member.
    MemberName
}
shared_name! {
    /// A data centre.
    DataCentre
}
shared_name! {
    /// A rack within a data centre.
    RackName
}
shared_name! {
    /// A maintenance wave.
    WaveName
}
shared_name! {
    /// The name part of a catalogue entry, whatever its kind.
    EntryName
}
shared_name! {
    /// One life of a VM in a pool: the id under which it registered.
    WorkerId
}
