//! The command-line tool's program.

use {
    cli::{commands, queries, Arguments, CliError, Command},
    std::process::ExitCode,
    tokio::runtime::Builder,
    wire::{generated::AdminResponse, to_json},
};

/// Exit status if the program itself can't run.
const EXIT_SETUP: u8 = 1;

fn main() -> ExitCode {
    let arguments = cli::arguments().run();
    let runtime = match Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(EXIT_SETUP);
        }
    };
    match runtime.block_on(perform(&arguments)) {
        Ok(text) => {
            println!("{text}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            report(&arguments, &error);
            ExitCode::from(error.exit_status())
        }
    }
}

fn report(arguments: &Arguments, error: &CliError) {
    match error {
        CliError::Refused { receipt } if arguments.json => println!("{}", to_json(receipt)),
        CliError::Invalid { findings } if arguments.json => println!("{}", to_json(findings)),
        _ => eprintln!("{error}"),
    }
}

async fn perform(arguments: &Arguments) -> Result<String, CliError> {
    let json = arguments.json;
    match &arguments.command {
        Command::Check { file } => {
            let document = commands::read_document(file)?;
            Ok(if json {
                to_json(&document)
            } else {
                "No errors.".to_owned()
            })
        }
        Command::Propose { target, base, file } => {
            let receipt = commands::propose(target, *base, file).await?;
            Ok(shown(json, &receipt, &proposed(&receipt)))
        }
        Command::Approve { target, read } => {
            let receipt = commands::decide(target, true, read).await?;
            let text = format!("Version {} is in force.", receipt.version);
            Ok(shown(json, &receipt, &text))
        }
        Command::Reject { target, read } => {
            let receipt = commands::decide(target, false, read).await?;
            Ok(shown(json, &receipt, "Rejected."))
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

fn proposed(receipt: &AdminResponse) -> String {
    format!(
        "Proposed at offset {}, digest {}.",
        receipt.offset, receipt.digest
    )
}

fn shown(json: bool, receipt: &AdminResponse, text: &str) -> String {
    if json {
        to_json(receipt)
    } else {
        text.to_owned()
    }
}
