//! Text output.

use wire::generated::{ConfigView, HistoryJson, ProposalSummary, StatusReport};

/// Formats the active version, and the open proposals with their changes and risks.
pub fn format_config(view: &ConfigView) -> String {
    let mut lines = vec![if view.version == 0 {
        "No version is in force yet.".to_owned()
    } else {
        format!(
            "Version {} is in force (digest {}).",
            view.version, view.digest
        )
    }];
    if view.gap {
        lines.push(
            "This instance missed records of the log and may not know every proposal.".to_owned(),
        );
    }
    if view.proposals.is_empty() {
        lines.push("No proposal is open.".to_owned());
    }
    for proposal in &view.proposals {
        lines.extend(proposal_lines(proposal, view.version));
    }
    lines.join("\n")
}

fn proposal_lines(proposal: &ProposalSummary, version: u64) -> Vec<String> {
    let mut lines = vec![
        String::new(),
        format!(
            "Proposal {} by {}, made from version {}:",
            proposal.offset, proposal.proposer, proposal.base_version
        ),
    ];
    lines.extend(
        proposal
            .changes
            .iter()
            .map(|change| format!("  - {change}")),
    );
    if proposal.base_version == version {
        lines.push(format!(
            "  To approve: catkinhitch approve --digest {} {}",
            proposal.digest, proposal.offset
        ));
    } else {
        lines.push("  It can no longer be approved: its base version is not in force.".to_owned());
    }
    lines
}

/// Formats an instance's status. Servers in full service are included only if `all` is set.
pub fn format_status(report: &StatusReport, all: bool) -> String {
    let mut lines = vec![format!(
        "Instance {} in data centre {}: {}, configuration version {}, log read {} ms ago.",
        report.instance,
        report.data_centre,
        if report.ready { "ready" } else { "not ready" },
        report.config_version,
        report.log_age_ms
    )];
    let shown = report
        .servers
        .iter()
        .filter(|server| all || server.standing != "good");
    let before = lines.len();
    lines.extend(shown.map(|server| {
        format!(
            "{} {} {}: {}, {} of {} slots in use. {}",
            server.service,
            server.data_centre,
            server.server,
            server.standing,
            server.held,
            server.slots,
            server.reason
        )
        .trim_end()
        .to_owned()
    }));
    if lines.len() == before {
        lines.push("All servers in the pools of this instance are in full service.".to_owned());
    }
    lines.join("\n")
}

/// Formats the history, oldest record first.
pub fn format_history(rows: &[HistoryJson]) -> String {
    let lines: Vec<String> = rows
        .iter()
        .map(|row| {
            format!(
                "{:>8}  {:<24} {:<14} version {}",
                row.offset, row.principal, row.verdict, row.version
            )
        })
        .collect();
    lines.join("\n")
}
