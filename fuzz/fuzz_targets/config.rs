//! Any text is either parsed, and then survives a round trip, or rejected with problems positioned
//! inside the text.
#![no_main]

use libfuzzer_sys::fuzz_target;
use lovagedock::{diff_config, parse_config};

fuzz_target!(|text: &str| {
    match parse_config("fuzzed", text) {
        Ok(config) => {
            let written = serde_json::to_string(&config).expect("a configuration serialises");
            let read = parse_config("written", &written).expect("a serialised configuration is valid");
            assert!(diff_config(&config, &read).is_empty());
        }
        Err(problems) => {
            assert!(!problems.is_empty());
            let lines = text.split('\n').count();
            assert!(problems.iter().all(|it| it.line >= 1 && it.line <= lines));
        }
    }
});
