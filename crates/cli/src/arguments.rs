//! The tool's command line.

use {
    bpaf::Bpaf,
    std::{net::SocketAddr, path::PathBuf},
};

/// Changes and shows the configuration of a catkinhitch fleet.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
pub struct Arguments {
    /// Print JSON for programs
    pub json: bool,
    /// What to do.
    #[bpaf(external)]
    pub command: Command,
}

/// The instance to talk to, and who talks.
#[derive(Bpaf, Clone, Debug)]
pub struct Target {
    /// Admin address of any instance, such as 127.0.0.1:7003
    #[bpaf(argument("ADDRESS"), env("CATKINHITCH_ADMIN"))]
    pub admin: SocketAddr,
    /// Token of a principal; better given by the environment than on the command line
    #[bpaf(
        argument("TOKEN"),
        env("CATKINHITCH_TOKEN"),
        fallback(String::new()),
        hide_usage
    )]
    pub token: String,
}

/// The proposal that was read.
#[derive(Bpaf, Clone, Debug)]
pub struct ProposalId {
    /// Digest of the proposal, as shown
    #[bpaf(argument("DIGEST"))]
    pub digest: String,
    /// Offset of the proposal, as shown
    #[bpaf(positional("OFFSET"))]
    pub offset: u64,
}

/// What the tool does.
#[derive(Bpaf, Clone, Debug)]
pub enum Command {
    /// Check a document without an instance. Example: catkinhitch check document.json
    #[bpaf(command)]
    Check {
        /// The document (JSON)
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Propose a document. Example: catkinhitch propose --admin 127.0.0.1:7003 document.json
    #[bpaf(command)]
    Propose {
        /// The instance to talk to.
        #[bpaf(external)]
        target: Target,
        /// Version the document was made from; the one in force if left out
        #[bpaf(argument("VERSION"))]
        base: Option<u64>,
        /// The document (JSON)
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Show the version in force and what each open proposal changes and can cost
    #[bpaf(command)]
    Show {
        /// The instance to talk to.
        #[bpaf(external)]
        target: Target,
    },
    /// Approve a proposal. Example: catkinhitch approve --admin 127.0.0.1:7003 --digest 5f0c… 12
    #[bpaf(command)]
    Approve {
        /// The instance to talk to.
        #[bpaf(external)]
        target: Target,
        /// The proposal that was read.
        #[bpaf(external(proposal_id))]
        read: ProposalId,
    },
    /// Reject a proposal
    #[bpaf(command)]
    Reject {
        /// The instance to talk to.
        #[bpaf(external)]
        target: Target,
        /// The proposal that was read.
        #[bpaf(external(proposal_id))]
        read: ProposalId,
    },
    /// Show what is out of service at an instance's pools, and why
    #[bpaf(command)]
    Status {
        /// The instance to talk to.
        #[bpaf(external)]
        target: Target,
        /// Also list the servers in full service
        all: bool,
    },
    /// Show the history of the configuration
    #[bpaf(command)]
    History {
        /// The instance to talk to.
        #[bpaf(external)]
        target: Target,
    },
}
