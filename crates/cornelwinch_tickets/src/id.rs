use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use cornelwinch_types::{Incarnation, Name};
use serde::{Deserialize, Serialize};
use snafu::{OptionExt, ResultExt, Snafu, ensure};

/// Permission to run one non-idempotent request, valid for one incarnation of
/// one host.
///
/// ```
/// use cornelwinch_tickets::TicketId;
///
/// let id: TicketId = "host-1~17~4".parse()?;
/// assert_eq!((&*id.host, id.incarnation.0, id.sequence), ("host-1", 17, 4));
/// assert_eq!(id.to_string(), "host-1~17~4");
/// # Ok::<(), cornelwinch_tickets::TicketIdError>(())
/// ```
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TicketId {
    /// Host that issued the ticket.
    pub host: Name,
    /// Incarnation of the host that issued it.
    pub incarnation: Incarnation,
    /// Number of the ticket within the incarnation.
    pub sequence: u64,
}

/// A text that is not a ticket.
#[derive(Debug, Snafu)]
pub enum TicketIdError {
    /// The text does not have three parts.
    #[snafu(display("a ticket has the form host~incarnation~sequence"))]
    Form,
    /// A part that must be a number is none.
    #[snafu(display("{part} of a ticket is not a number"))]
    Number {
        /// Name of the part.
        part: &'static str,
        /// Cause.
        source: ParseIntError,
    },
}

impl fmt::Display for TicketId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}~{}~{}", self.host, self.incarnation, self.sequence)
    }
}

impl FromStr for TicketId {
    type Err = TicketIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        // The numbers are the last two parts: a host name may contain `~`.
        let mut parts = text.rsplitn(3, '~');
        let sequence = parts.next().context(FormSnafu)?;
        let incarnation = parts.next().context(FormSnafu)?;
        let host = parts.next().context(FormSnafu)?;
        ensure!(!host.is_empty(), FormSnafu);
        let sequence = sequence.parse().context(NumberSnafu { part: "sequence" })?;
        let incarnation = incarnation.parse().context(NumberSnafu {
            part: "incarnation",
        })?;
        Ok(Self {
            host: host.into(),
            incarnation: Incarnation(incarnation),
            sequence,
        })
    }
}
