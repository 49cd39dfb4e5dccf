//! Parses settings files of the command-line program; the daemons use the same parser.
#![no_main]

use std::path::Path;

use libfuzzer_sys::fuzz_target;
use lovagedock_cli::OperatorSettings;
use lovagedock_daemon::parse_settings;

fuzz_target!(|text: &str| {
    if let Err(error) = parse_settings::<OperatorSettings>(Path::new("fuzzed"), text) {
        assert!(error.line >= 1 && error.line <= text.split('\n').count());
    }
});
