//! Log lines with a fixed prefix for each component.

/// Component of a member that writes a log line.
#[derive(Clone, Copy, Debug)]
pub(crate) enum LogComponent {
    /// The request pipe.
    Request,
    /// The control pipe.
    Control,
    /// Connections to peers.
    Peer,
    /// The administration API.
    Admin,
    /// The process itself.
    Member,
}

impl LogComponent {
    /// Returns the prefix of the component's log lines.
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

/// Writes one log line at a level, with the component's prefix.
macro_rules! log_line {
    ($level:ident, $component:ident, $($text:tt)+) => {
        spdlog::$level!("{} {}", $crate::logs::LogComponent::$component.prefix(), format_args!($($text)+))
    };
}

pub(crate) use log_line;
