//! What happens on a day, from TOML.

use jacinthhoist_core::ClockTime;
use rand::{RngExt, rngs::StdRng};
use serde::Deserialize;
use snafu::{ResultExt, Snafu};

/// The result of reading a day.
pub(crate) type Result<T, E = DayError> = std::result::Result<T, E>;

/// A day that cannot be played.
#[derive(Debug, Snafu)]
#[snafu(display("the day cannot be read ({source}): correct the field it names"))]
pub struct DayError {
    /// What the decoder said.
    source: toml::de::Error,
}

/// A day: sizes, load, faults.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EmulatedDay {
    /// How long callers hand jobs in, in seconds.
    pub secs: u64,
    /// Members.
    pub members: usize,
    /// Members behind thin links among them.
    pub reserves: usize,
    /// Workers of each pool.
    pub workers: usize,
    /// VMs that are off.
    pub spare: usize,
    /// Thousandths of a core that a worker has.
    pub worker_cpu: u64,
    /// Whether workers reject what does not fit.
    pub guarded: bool,
    /// Kinds of load, a pool each.
    pub loads: Vec<DayLoad>,
    /// What goes wrong or is planned.
    pub faults: Vec<DayFault>,
}

impl Default for EmulatedDay {
    fn default() -> Self {
        Self {
            secs: 10,
            members: 3,
            reserves: 0,
            workers: 4,
            spare: 2,
            worker_cpu: 16_000,
            guarded: true,
            loads: Vec::new(),
            faults: Vec::new(),
        }
    }
}

/// Jobs of one kind.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct DayLoad {
    /// The pool that runs them.
    pub pool: String,
    /// Jobs a second, on average.
    pub per_sec: f64,
    /// How many times the average a surge brings.
    pub surge: f64,
    /// How long a surge lasts, in seconds; kinds surge in turn. None where zero.
    pub turn_secs: u64,
    /// Steps of a job, one after the other.
    pub steps: u16,
    /// Tasks of a step.
    pub tasks: u16,
    /// How long a task takes, on average, in milliseconds.
    pub task_ms: u64,
    /// Thousandths of a core that a task uses.
    pub cpu: u64,
    /// Jobs that run until they are cancelled, all handed in at the start.
    pub lasting: u16,
    /// Share of the jobs that are cancelled a moment later.
    pub cancels: f64,
    /// Share of the jobs that can never be done.
    pub hopeless: f64,
    /// The class; 0 goes first.
    pub priority: u8,
}

impl Default for DayLoad {
    fn default() -> Self {
        Self {
            pool: "mould".to_owned(),
            per_sec: 2.0,
            surge: 4.0,
            turn_secs: 0,
            steps: 2,
            tasks: 4,
            task_ms: 800,
            cpu: 2_000,
            lasting: 0,
            cancels: 0.0,
            hopeless: 0.0,
            priority: 0,
        }
    }
}

impl DayLoad {
    /// Jobs a second at a time of the day; `turn` of `turns` is this kind's place in the round.
    pub(crate) fn rate(&self, at: ClockTime, turn: u64, turns: u64) -> f64 {
        if self.turn_secs == 0 {
            return self.per_sec;
        }
        let now = at.as_millis() / 1_000 / self.turn_secs;
        if now % turns.max(1) == turn {
            self.per_sec * self.surge
        } else {
            self.per_sec / 20.0
        }
    }
}

/// Something that goes wrong or is planned.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DayFault {
    /// When, in seconds from the start of the load.
    pub at: f64,
    /// What.
    pub kind: FaultKind,
    /// How long, in seconds.
    #[serde(default = "usual_span")]
    pub for_s: f64,
    /// How many are hit.
    #[serde(default = "one")]
    pub count: usize,
}

fn usual_span() -> f64 {
    3.0
}

fn one() -> usize {
    1
}

macro_rules! fault_kinds {
    ($($variant:ident => $doc:literal),* $(,)?) => {
        /// Kinds of fault.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
        #[serde(rename_all = "snake_case")]
        pub enum FaultKind {
            $(#[doc = $doc] $variant),*
        }

        impl FaultKind {
            /// All kinds.
            pub const ALL: &[Self] = &[$(Self::$variant),*];
        }
    };
}

fault_kinds! {
    MemberKill => "Members are killed, the owner first, and start again.",
    MemberStop => "Members are stopped as planned, one after the other, and start again.",
    MemberKillAll => "All members are killed at once and start again.",
    MemberCut => "Members are cut from everything, the owner first.",
    OwnerStoreCut => "The owner is cut from the store alone.",
    StoreDown => "The store refuses every call.",
    StoreSilent => "The store answers nothing.",
    StoreSlow => "The store's answers take fifty times as long.",
    StoreLost => "Some writes are done and not answered.",
    StoreLate => "Some writes are not answered and done seconds later.",
    StoreCompact => "The store forgets its history.",
    StoreDeal => "The store deals the pools anew.",
    WorkerCrash => "Workers crash and start anew under their ids.",
    WorkerDark => "Workers fall silent and run on.",
    WorkerGone => "Workers are lost for good.",
    WorkerFailAll => "Workers fail all that they start.",
    WorkerHang => "Tasks on some workers stand still.",
    WorkerSlow => "Workers take four times as long.",
    WorkerLate => "Workers leave orders unanswered and carry them out late.",
    WorkerDrain => "Workers drain and leave.",
    Wave => "VMs are due for maintenance.",
    StoreDeaf => "Reads of the store that wait hear of nothing new.",
}

impl EmulatedDay {
    /// Reads a day.
    ///
    /// # Errors
    ///
    /// Names the field.
    ///
    /// ```
    /// use jacinthhoist_emulator::EmulatedDay;
    /// assert_eq!(EmulatedDay::parse("secs = 4").unwrap().members, 3);
    /// let error = EmulatedDay::parse("[[faults]]\nat = 1\nkind = \"storm\"").unwrap_err();
    /// assert!(error.to_string().contains("storm"));
    /// ```
    pub fn parse(text: &str) -> Result<Self> {
        toml::from_str(text).context(DaySnafu)
    }

    /// The same day with some faults drawn from some kinds.
    ///
    /// ```
    /// use jacinthhoist_emulator::{EmulatedDay, FaultKind};
    /// use rand::{SeedableRng, rngs::StdRng};
    /// let mut draws = StdRng::seed_from_u64(3);
    /// let day = EmulatedDay::parse("secs = 12").unwrap();
    /// let day = day.with_faults(FaultKind::ALL, 4, &mut draws);
    /// assert_eq!(day.faults.len(), 4);
    /// ```
    pub fn with_faults(mut self, kinds: &[FaultKind], count: usize, draws: &mut StdRng) -> Self {
        for _ in 0..count {
            let kind = kinds[draws.random_range(0..kinds.len())];
            self.faults.push(DayFault {
                at: draws.random_range(0.5..self.secs as f64),
                kind,
                for_s: draws.random_range(0.5..5.0),
                count: draws.random_range(1..3),
            });
        }
        self
    }

    /// The pools, each once, in the order of their loads.
    pub(crate) fn pools(&self) -> Vec<String> {
        let mut pools: Vec<String> = Vec::new();
        for load in &self.loads {
            if !pools.contains(&load.pool) {
                pools.push(load.pool.clone());
            }
        }
        pools
    }
}
