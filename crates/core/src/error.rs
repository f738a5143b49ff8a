//! Why a step was rejected, with the remedy in the message.

use snafu::Snafu;

use crate::{
    catalogue::EntryId,
    name::{MemberName, PoolName, VmName},
    record::Offset,
};

/// The result of a decision that can be rejected.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// A rejection, one word wide.
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
    /// The coarse kind of this rejection, for counters and exit codes.
    pub fn category(&self) -> Category {
        self.0.category()
    }

    /// The detailed kind.
    pub fn kind(&self) -> &ErrorKind {
        &self.0
    }
}

/// Coarse kinds of rejection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Category {
    /// Another operator or member was first.
    Conflict,
    /// The catalogue would not be valid.
    Catalogue,
    /// A pool's availability budget would not hold.
    Budget,
    /// The sender is not a live member.
    Member,
    /// The VM is not in the state that the step needs.
    Vm,
    /// The idempotency key is taken.
    Claim,
}

impl Category {
    /// The label used in metrics.
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

/// Detailed kinds of rejection.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ErrorKind {
    /// A catalogue entry changed since the operator read it.
    #[snafu(display(
        "{entry} is at revision {current}, newer than {based_on}: read the catalogue again and redo the edit"
    ))]
    EntryConflict {
        /// The entry in question.
        entry: EntryId,
        /// The revision it has now.
        current: Offset,
        /// The revision the edit was based on.
        based_on: Offset,
    },
    /// A catalogue entry has a value that cannot be used.
    #[snafu(display("{entry}: field `{field}` {found}: {remedy}"))]
    EntryInvalid {
        /// The entry in question.
        entry: EntryId,
        /// The field at fault.
        field: &'static str,
        /// What was found.
        found: String,
        /// What to write instead.
        remedy: String,
    },
    /// The budget of a pool would break.
    #[snafu(display(
        "pool {pool} has {available} VMs available and must keep {minimum}: wait, or lower `min_available`"
    ))]
    BudgetMinimum {
        /// The pool in question.
        pool: PoolName,
        /// VMs available now.
        available: usize,
        /// VMs the pool must keep.
        minimum: usize,
    },
    /// Too many VMs of a pool are unavailable.
    #[snafu(display(
        "pool {pool} has {unavailable} VMs unavailable and may have {maximum}: wait, or raise `max_unavailable`"
    ))]
    BudgetMaximum {
        /// The pool in question.
        pool: PoolName,
        /// VMs unavailable now.
        unavailable: usize,
        /// VMs that may be unavailable.
        maximum: usize,
    },
    /// Two failure domains of a pool would be in maintenance at once.
    #[snafu(display(
        "pool {pool} already has VMs in maintenance in another data centre: wait for them to return"
    ))]
    BudgetDomain {
        /// The pool in question.
        pool: PoolName,
    },
    /// The pool is not in the catalogue.
    #[snafu(display("pool {pool} is not in the catalogue: add it, or name another"))]
    UnknownPool {
        /// The pool in question.
        pool: PoolName,
    },
    /// The VM is not known to the fold.
    #[snafu(display("VM {vm} is not known: wait until the VM list shows it"))]
    UnknownVm {
        /// The VM in question.
        vm: VmName,
    },
    /// The VM is in a phase that does not allow the step.
    #[snafu(display("VM {vm} is {phase}: read the fleet again and plan anew"))]
    WrongPhase {
        /// The VM in question.
        vm: VmName,
        /// The phase it is in.
        phase: &'static str,
    },
    /// The record's writer is not the live incarnation of its name.
    #[snafu(display(
        "{member} is not a live member under this incarnation: restart it to join again"
    ))]
    NotMember {
        /// The writer's name.
        member: MemberName,
    },
    /// A newer incarnation of the same name joined first.
    #[snafu(display("{member} joined again at {current}: only the newest incarnation stays"))]
    StaleJoin {
        /// The member's name.
        member: MemberName,
        /// Where the newer incarnation joined.
        current: Offset,
    },
    /// The member table is full; a worker's connections are divided by that many.
    #[snafu(display(
        "{live} members are live and the policy allows {maximum}: stop one, or raise `max_members`"
    ))]
    MembersFull {
        /// Members live now.
        live: usize,
        /// Members allowed.
        maximum: usize,
    },
    /// Another request holds the idempotency key.
    #[snafu(display("the key is claimed by {holder}: ask it for the answer"))]
    KeyTaken {
        /// The member that holds the claim.
        holder: MemberName,
    },
    /// The claim is not held by the sender.
    #[snafu(display("the claim is not the sender's: drop it"))]
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
