//! Proof that the group's confirmations belong to the ownership under one token.
//!
//! The group names members, not tokens: it may have assigned the pools to another member and back since
//! it last answered. Its generation has changed then, as it also does when a member joins. So after a change
//! of generation its confirmations count only once the store has accepted an append under this token that
//! was sent after the change was known: a later owner would have fenced it off.
//!
//! A successor fences the store first, then has the group confirm its ownership, and only then counts one
//! lease for workers that it cannot reach. A confirmation that precedes its own bounds the leases of its
//! predecessor; one that follows has another generation, and the append that would prove it is refused.

use crate::clock::ClockTime;

/// Confirmations of the group under a generation that an append has proven.
#[derive(Clone, Copy, Debug)]
struct Proven {
    generation: u64,
    confirmed_at: ClockTime,
}

/// Confirmations of the group under a generation in or before which a later owner may have taken over.
#[derive(Clone, Copy, Debug)]
struct Unproven {
    generation: u64,
    /// Time at which the generation was known here; the append of the proof is sent later.
    learned_at: ClockTime,
    /// Time of the last confirmation of an earlier generation that was proven.
    proven_at: ClockTime,
    confirmed_at: ClockTime,
}

#[derive(Clone, Copy, Debug)]
enum Confirmations {
    Proven(Proven),
    Unproven(Unproven),
}

/// What the store has told an owner under one token.
///
/// ```
/// use jacinthhoist_core::{ClockTime, job::OwnershipProof};
/// let ms = ClockTime::from_millis;
/// let mut proof = OwnershipProof::open(3, ms(1_000));
/// proof.record_confirmation(3, ms(1_200), ms(1_210));
/// assert_eq!(proof.confirmed_at(), ms(1_200));
/// proof.record_confirmation(5, ms(1_500), ms(1_510));
/// assert_eq!(proof.confirmed_at(), ms(1_200));
/// proof.record_append(ms(1_505));
/// assert!(proof.needs_append(ms(1_520)));
/// proof.record_append(ms(1_520));
/// assert_eq!(proof.confirmed_at(), ms(1_500));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct OwnershipProof {
    confirmations: Confirmations,
    appended_at: ClockTime,
}

impl OwnershipProof {
    /// Proof by the append that fenced off the earlier owners. It was sent at `fenced_at`, when this
    /// member knew of its ownership in `generation`.
    pub fn open(generation: u64, fenced_at: ClockTime) -> Self {
        Self {
            confirmations: Confirmations::Proven(Proven {
                generation,
                confirmed_at: ClockTime::ZERO,
            }),
            appended_at: fenced_at,
        }
    }

    /// Records that the group confirmed the ownership in answer to a call sent at `asked_at`.
    pub fn record_confirmation(&mut self, generation: u64, asked_at: ClockTime, now: ClockTime) {
        match &mut self.confirmations {
            Confirmations::Proven(known) if known.generation == generation => {
                known.confirmed_at = asked_at;
            }
            Confirmations::Unproven(known) if known.generation == generation => {
                known.confirmed_at = asked_at;
            }
            Confirmations::Proven(_) | Confirmations::Unproven(_) => {
                self.confirmations = Confirmations::Unproven(Unproven {
                    generation,
                    learned_at: now,
                    proven_at: self.confirmed_at(),
                    confirmed_at: asked_at,
                });
            }
        }
    }

    /// Records that the store accepted an append first sent at `asked_at`: no later owner had fenced this
    /// one off by then.
    pub fn record_append(&mut self, asked_at: ClockTime) {
        self.appended_at = self.appended_at.max(asked_at);
        if let Confirmations::Unproven(known) = self.confirmations
            && asked_at > known.learned_at
        {
            self.confirmations = Confirmations::Proven(Proven {
                generation: known.generation,
                confirmed_at: known.confirmed_at,
            });
        }
    }

    /// Returns whether an append that is sent now would prove confirmations that do not count yet.
    pub fn needs_append(&self, now: ClockTime) -> bool {
        match self.confirmations {
            Confirmations::Proven(_) => false,
            Confirmations::Unproven(known) => now > known.learned_at,
        }
    }

    /// Time of the last proven confirmation of the group; zero before the first.
    pub fn confirmed_at(&self) -> ClockTime {
        match self.confirmations {
            Confirmations::Proven(known) => known.confirmed_at,
            Confirmations::Unproven(known) => known.proven_at,
        }
    }

    /// Time as of which the store last showed that no later owner had taken over.
    pub fn stored_at(&self) -> ClockTime {
        self.confirmed_at().max(self.appended_at)
    }
}
