//! Entry point of the command-line tool.

use {
    cli::{commands, queries, Arguments, CliError, Command},
    std::process::ExitCode,
    tokio::runtime::Builder,
    wire::{generated::AdminResponse, to_json},
};

/// Exit status if the async runtime can't be started.
const EXIT_RUNTIME: u8 = 1;

fn main() -> ExitCode {
    let arguments = cli::arguments().run();
    let runtime = match Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("failed to start the async runtime: {error}");
            return ExitCode::from(EXIT_RUNTIME);
        }
    };
    match runtime.block_on(execute(&arguments)) {
        Ok(text) => {
            println!("{text}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            print_error(&arguments, &error);
            ExitCode::from(error.exit_status())
        }
    }
}

fn print_error(arguments: &Arguments, error: &CliError) {
    match error {
        CliError::Refused { response } if arguments.json => println!("{}", to_json(response)),
        CliError::Check { report } if arguments.json => println!("{}", to_json(report)),
        CliError::Invalid { findings } if arguments.json => println!("{}", to_json(findings)),
        _ => eprintln!("{error}"),
    }
}

async fn execute(arguments: &Arguments) -> Result<String, CliError> {
    let json = arguments.json;
    match &arguments.command {
        Command::Check { admin, file } => {
            let report = queries::check_document(file, *admin).await?;
            if !report.errors.is_empty() || !report.warnings.is_empty() {
                return Err(CliError::Check { report });
            }
            Ok(if json {
                to_json(&report)
            } else {
                queries::format_check(&report)
            })
        }
        Command::Propose { target, base, file } => {
            let response = commands::propose(target, *base, file).await?;
            Ok(format_response(
                json,
                &response,
                &format_proposed(&response),
            ))
        }
        Command::Approve {
            target,
            read: proposal,
        } => {
            let response = commands::decide(target, true, proposal).await?;
            let text = format!("Version {} is in force.", response.version);
            Ok(format_response(json, &response, &text))
        }
        Command::Reject {
            target,
            read: proposal,
        } => {
            let response = commands::decide(target, false, proposal).await?;
            Ok(format_response(json, &response, "Rejected."))
        }
        Command::Show { target } => {
            let view = queries::fetch_config(target).await?;
            Ok(if json {
                to_json(&view)
            } else {
                queries::format_config(&view)
            })
        }
        Command::Status { target, all } => {
            let report = queries::fetch_status(target).await?;
            Ok(if json {
                to_json(&report)
            } else {
                queries::format_status(&report, *all)
            })
        }
        Command::History { target } => {
            let rows = queries::fetch_history(target).await?;
            Ok(if json {
                to_json(&rows)
            } else {
                queries::format_history(&rows)
            })
        }
    }
}

fn format_proposed(response: &AdminResponse) -> String {
    format!(
        "Proposed at offset {}, digest {}.",
        response.offset, response.digest
    )
}

fn format_response(json: bool, response: &AdminResponse, text: &str) -> String {
    if json {
        to_json(response)
    } else {
        text.to_owned()
    }
}
