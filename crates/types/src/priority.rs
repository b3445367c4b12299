//! Priorities of requests.

/// Priority of a request when slots are scarce; the smaller one is the more urgent. The account's comes first, so that an
/// operator can rank client accounts whatever routes they use.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Priority {
    /// Priority of the client account; 0 without one.
    pub account: u32,
    /// Priority of the route.
    pub route: u32,
}

impl Priority {
    /// Creates the priority of a request without a client account.
    pub fn new(route: u32) -> Self {
        Self { account: 0, route }
    }

    /// Sets the priority of the client account.
    pub fn with_account(self, account: u32) -> Self {
        Self { account, ..self }
    }
}
