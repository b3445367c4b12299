//! Command-line arguments of the tool.

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
    /// Subcommand.
    #[bpaf(external)]
    pub command: Command,
}

/// Address of an instance, and the token of the principal.
#[derive(Bpaf, Clone, Debug)]
pub struct Target {
    /// Admin address of any instance, such as 127.0.0.1:7003
    #[bpaf(argument("ADDRESS"), env("CATKINHITCH_ADMIN"))]
    pub admin: SocketAddr,
    /// Token of a principal; prefer the environment variable to the command line
    #[bpaf(
        argument("TOKEN"),
        env("CATKINHITCH_TOKEN"),
        fallback(String::new()),
        hide_usage
    )]
    pub token: String,
}

/// Identifies a proposal: the digest ensures that the document at the offset is the one that was reviewed.
#[derive(Bpaf, Clone, Debug)]
pub struct ProposalId {
    /// Digest of the proposal, as printed by show
    #[bpaf(argument("DIGEST"))]
    pub digest: String,
    /// Offset of the proposal, as printed by show
    #[bpaf(positional("OFFSET"))]
    pub offset: u64,
}

/// Subcommands of the tool.
#[derive(Bpaf, Clone, Debug)]
pub enum Command {
    /// Check a document: errors, entries without effect, and with --admin what differs from the version in force.
    /// Example: catkinhitch check document.json
    #[bpaf(command)]
    Check {
        /// Instance whose active version the document is compared with
        #[bpaf(argument("ADDRESS"), optional)]
        admin: Option<SocketAddr>,
        /// The document (JSON)
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Propose a document. Example: catkinhitch propose --admin 127.0.0.1:7003 document.json
    #[bpaf(command)]
    Propose {
        /// Instance to send the request to.
        #[bpaf(external)]
        target: Target,
        /// Version that the document is based on; default: the version in force
        #[bpaf(argument("VERSION"))]
        base: Option<u64>,
        /// The document (JSON)
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Show the version in force and the changes and risks of each open proposal
    #[bpaf(command)]
    Show {
        /// Instance to send the request to.
        #[bpaf(external)]
        target: Target,
    },
    /// Approve a proposal. Example: catkinhitch approve --admin 127.0.0.1:7003 --digest 5f0c… 12
    #[bpaf(command)]
    Approve {
        /// Instance to send the request to.
        #[bpaf(external)]
        target: Target,
        /// Proposal to approve.
        #[bpaf(external(proposal_id))]
        read: ProposalId,
    },
    /// Reject a proposal
    #[bpaf(command)]
    Reject {
        /// Instance to send the request to.
        #[bpaf(external)]
        target: Target,
        /// Proposal to reject.
        #[bpaf(external(proposal_id))]
        read: ProposalId,
    },
    /// Show the servers in an instance's pools that are not in full service, and why
    #[bpaf(command)]
    Status {
        /// Instance to send the request to.
        #[bpaf(external)]
        target: Target,
        /// Also list the servers in full service
        all: bool,
    },
    /// Show the history of the configuration
    #[bpaf(command)]
    History {
        /// Instance to send the request to.
        #[bpaf(external)]
        target: Target,
    },
}
