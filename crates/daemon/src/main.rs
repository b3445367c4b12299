//! Entry point of the `catkinhitchd` binary.

use std::process::ExitCode;

fn main() -> ExitCode {
    daemon::commands::run_main()
}
