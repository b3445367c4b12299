//! Numbered result codes and the execution status that each one implies.
//!
//! Invariant: a code with the status `NotRun` is only returned if it is proved that no backend server ran the request.
//! docs/RESULT-CODES.md has the table for callers; a test compares the two.

/// Whether a backend server ran a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExecutionStatus {
    /// A backend server returned a complete response.
    Ran,
    /// It is proved that no backend server ran the request.
    NotRun,
    /// A backend server may have run the request.
    Unknown,
}

impl ExecutionStatus {
    /// Returns the value of the `catkinhitch-outcome` header.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Ran => "ran",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

/// Defines the codes with number, HTTP status, execution status and message in one table.
macro_rules! codes {
    ($($name:ident = $number:literal, $status:literal, $execution:ident, $message:literal;)*) => {
        /// The result of a request or an administrative call, as a stable number.
        #[derive(Clone, Copy, Debug, Eq, PartialEq)]
        pub enum ResultCode {
            $(#[doc = $message] $name,)*
        }

        impl ResultCode {
            /// All codes, in the order of the table.
            pub const ALL: &'static [Self] = &[$(Self::$name,)*];

            /// Returns the stable number of the code.
            pub fn number(self) -> u16 {
                match self { $(Self::$name => $number,)* }
            }

            /// Returns the HTTP status of a response with the code.
            pub fn http_status(self) -> u16 {
                match self { $(Self::$name => $status,)* }
            }

            /// Returns whether the request ran, as implied by the code.
            pub fn execution_status(self) -> ExecutionStatus {
                match self { $(Self::$name => ExecutionStatus::$execution,)* }
            }

            /// Returns the human-readable message.
            pub fn message(self) -> &'static str {
                match self { $(Self::$name => $message,)* }
            }
        }
    };
}

codes! {
    Answered = 1000, 200, Ran, "The backend server's whole answer is passed on.";
    NoRoute = 1101, 404, NotRun, "No route of the configuration in force matches the request.";
    BadRequest = 1102, 400, NotRun, "The request is malformed.";
    BodyTooLarge = 1103, 413, NotRun, "The request's body is larger than the service allows.";
    BodyCut = 1104, 400, Unknown, "The caller's body ended early after part of it was passed on.";
    CallerLeft = 1105, 499, Unknown, "The caller left before its answer was there.";
    UnknownKey = 1106, 401, NotRun, "The API key is missing or belongs to no client account.";
    QuotaExceeded = 1107, 429, NotRun, "The client account has used up its quota.";
    NoConfiguration = 1201, 503, NotRun, "This instance has not learnt a configuration yet.";
    NoServer = 1202, 503, NotRun, "The service has no backend server that may take work.";
    Overloaded = 1203, 503, NotRun, "The request could not have finished within its deadline.";
    RetryBudgetSpent = 1204, 503, NotRun, "All attempts were proved not run and the retry budget is spent.";
    DeadlineNotRun = 1205, 503, NotRun, "The deadline passed before any backend server was given the request.";
    Stopping = 1206, 503, NotRun, "This instance is stopping.";
    OldConfiguration = 1207, 503, NotRun, "No route matches, but this instance's configuration may be out of date.";
    KeysUnconfirmed = 1208, 503, NotRun, "The API key can't be checked, because this instance's configuration may be out of date.";
    NoRoom = 1209, 503, NotRun, "This instance has no room for the request's body, or its caller sends it too slowly.";
    KeyUnclaimed = 1301, 503, NotRun, "The idempotency key could not be claimed; try again later.";
    KeyTooOld = 1302, 409, NotRun, "The idempotency key is older than the claim window.";
    KeyElsewhereUnknown = 1303, 409, Unknown, "The key was claimed before and its answer can't be had.";
    KeyInvalid = 1304, 400, NotRun, "The idempotency key is empty or too long.";
    OutcomeUnknown = 1401, 502, Unknown, "The backend server may have run the request; its whole answer was not received.";
    DeadlineUnknown = 1402, 504, Unknown, "The deadline passed while a backend server may have been running the request.";
    Unauthorised = 2001, 401, NotRun, "The token is missing or belongs to no principal.";
    InvalidDocument = 2002, 422, NotRun, "The document has errors; each is listed with its place.";
    StaleBase = 2003, 409, NotRun, "The proposal's base version is no longer in force.";
    UnknownProposal = 2004, 404, NotRun, "No open proposal stands at that offset.";
    DigestMismatch = 2005, 409, NotRun, "The digest is not the proposal's.";
    SamePrincipal = 2006, 403, NotRun, "The proposer can't approve their own proposal.";
    LogAway = 2007, 503, Unknown, "The platform's log did not confirm in time; look at the history.";
}
