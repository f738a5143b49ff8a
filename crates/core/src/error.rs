//! Rejections of log steps; each message includes a remedy.

use snafu::Snafu;

use crate::{
    catalogue::EntryId,
    name::{MemberName, PoolName, VmName},
    record::Offset,
};

/// Result of a decision that can be rejected.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// A rejection, boxed so that a `Result` stays one word wide.
///
/// ```
/// use jacinthhoist_core::{Category, Error, ErrorKind, VmName};
/// let error = Error::from(ErrorKind::UnknownVm { vm: VmName::new("w9") });
/// assert_eq!(error.category(), Category::Vm);
/// assert!(error.to_string().contains("wait until the VM list shows it"));
/// ```
#[derive(Debug, Snafu)]
#[snafu(source(from(ErrorKind, Box::new)))]
pub struct Error(Box<ErrorKind>);

impl Error {
    /// Coarse category, for counters and exit codes.
    pub fn category(&self) -> Category {
        self.0.category()
    }

    /// Detailed reason and its values.
    pub fn kind(&self) -> &ErrorKind {
        &self.0
    }
}

/// Coarse categories of rejection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Category {
    /// A concurrent edit by another operator or member was accepted first.
    Conflict,
    /// The resulting catalogue would be invalid.
    Catalogue,
    /// The step would violate a pool's availability budget.
    Budget,
    /// The sender is not a live member.
    Member,
    /// The pool or VM is unknown, or the VM's phase does not allow the step.
    Vm,
    /// Another request holds the idempotency key, or the sender does not hold the claim.
    Claim,
}

impl Category {
    /// Label used in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Conflict => "conflict",
            Self::Catalogue => "catalogue",
            Self::Budget => "budget",
            Self::Member => "member",
            Self::Vm => "vm",
            Self::Claim => "claim",
        }
    }
}

/// Detailed reasons for a rejection.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ErrorKind {
    /// The catalogue entry changed after the operator read it.
    #[snafu(display(
        "{entry} is at revision {current}, newer than {based_on}: read the catalogue again and redo the edit"
    ))]
    EntryConflict {
        /// Entry that was rejected.
        entry: EntryId,
        /// Current revision of the entry.
        current: Offset,
        /// Revision on which the edit was based.
        based_on: Offset,
    },
    /// A field of a catalogue entry has an invalid value.
    #[snafu(display("{entry}: field `{field}` {found}: {remedy}"))]
    EntryInvalid {
        /// Entry that was rejected.
        entry: EntryId,
        /// Name of the invalid field.
        field: &'static str,
        /// Description of the value found.
        found: String,
        /// Correction for the operator to make.
        remedy: String,
    },
    /// The pool would fall below its minimum of available VMs.
    #[snafu(display(
        "pool {pool} has {available} VMs available and must keep {minimum}: wait, or lower `min_available`"
    ))]
    BudgetMinimum {
        /// Pool that the step affects.
        pool: PoolName,
        /// VMs currently available.
        available: usize,
        /// Minimum number of available VMs.
        minimum: usize,
    },
    /// The pool would exceed its maximum of unavailable VMs.
    #[snafu(display(
        "pool {pool} has {unavailable} VMs unavailable and may have {maximum}: wait, or raise `max_unavailable`"
    ))]
    BudgetMaximum {
        /// Pool that the step affects.
        pool: PoolName,
        /// VMs currently unavailable.
        unavailable: usize,
        /// Maximum number of unavailable VMs.
        maximum: usize,
    },
    /// Two data centres of the pool would be in maintenance at once.
    #[snafu(display(
        "pool {pool} already has VMs in maintenance in another data centre: wait until they serve again"
    ))]
    BudgetDomain {
        /// Pool that the step affects.
        pool: PoolName,
    },
    /// The pool is not in the catalogue.
    #[snafu(display("pool {pool} is not in the catalogue: add it, or name another"))]
    UnknownPool {
        /// Pool that the step affects.
        pool: PoolName,
    },
    /// The VM is not in the replicated fleet state.
    #[snafu(display("VM {vm} is unknown: wait until the VM list shows it"))]
    UnknownVm {
        /// VM that the step names.
        vm: VmName,
    },
    /// The VM is in a phase that does not allow the step.
    #[snafu(display("VM {vm} is {phase}: reload the fleet state and plan again"))]
    WrongPhase {
        /// VM that the step names.
        vm: VmName,
        /// Current phase of the VM.
        phase: &'static str,
    },
    /// The record's writer is not the live incarnation of its member name.
    #[snafu(display(
        "{member} is not a live member under this incarnation: restart it to join again"
    ))]
    NotMember {
        /// Name of the member.
        member: MemberName,
    },
    /// A newer incarnation of the same member has already joined.
    #[snafu(display(
        "{member} joined again at offset {current}: only its newest incarnation is a member"
    ))]
    StaleJoin {
        /// Name of the member.
        member: MemberName,
        /// Offset at which the newer incarnation joined.
        current: Offset,
    },
    /// `max_members` members are live; a VM's connection limit is divided by that number.
    #[snafu(display(
        "{live} members are live and the policy allows {maximum}: stop one, or raise `max_members`"
    ))]
    MembersFull {
        /// Members currently live.
        live: usize,
        /// Maximum number of live members.
        maximum: usize,
    },
    /// Another request has claimed the idempotency key.
    #[snafu(display(
        "the idempotency key is claimed by {holder}: request the answer from that member"
    ))]
    KeyTaken {
        /// Member that holds the claim.
        holder: MemberName,
    },
    /// The sender does not hold the claim.
    #[snafu(display("the sender does not hold the claim: discard it"))]
    NotHolder,
}

impl ErrorKind {
    fn category(&self) -> Category {
        match self {
            Self::EntryConflict { .. } => Category::Conflict,
            Self::EntryInvalid { .. } => Category::Catalogue,
            Self::BudgetMinimum { .. } | Self::BudgetMaximum { .. } | Self::BudgetDomain { .. } => {
                Category::Budget
            }
            Self::UnknownPool { .. } | Self::UnknownVm { .. } | Self::WrongPhase { .. } => {
                Category::Vm
            }
            Self::NotMember { .. } | Self::StaleJoin { .. } | Self::MembersFull { .. } => {
                Category::Member
            }
            Self::KeyTaken { .. } | Self::NotHolder => Category::Claim,
        }
    }
}
