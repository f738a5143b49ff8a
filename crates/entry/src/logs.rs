//! Structured logs with a fixed prefix for each part.

/// The part of a member that writes a log line.
#[derive(Clone, Copy, Debug)]
pub(crate) enum LogPart {
    /// The request pipe.
    Request,
    /// The control pipe.
    Control,
    /// Links to peers.
    Peer,
    /// The administration API.
    Admin,
    /// The process itself.
    Member,
}

impl LogPart {
    /// The prefix of the part's lines.
    pub(crate) fn prefix(self) -> &'static str {
        match self {
            Self::Request => "[request]",
            Self::Control => "[control]",
            Self::Peer => "[peer]",
            Self::Admin => "[admin]",
            Self::Member => "[member]",
        }
    }
}

/// Writes one line at a level, with the part's prefix.
macro_rules! log_line {
    ($level:ident, $part:ident, $($text:tt)+) => {
        spdlog::$level!("{} {}", $crate::logs::LogPart::$part.prefix(), format_args!($($text)+))
    };
}

pub(crate) use log_line;
