//! Any text is read or refused with problems inside it, and what was read is written back whole.
#![no_main]

use libfuzzer_sys::fuzz_target;
use lovagedock::{diff_config, parse_config};

fuzz_target!(|text: &str| {
    match parse_config("fuzzed", text) {
        Ok(config) => {
            let written = serde_json::to_string(&config).expect("a configuration serialises");
            let read = parse_config("written", &written).expect("what was written is sound");
            assert!(diff_config(&config, &read).is_empty());
        }
        Err(problems) => {
            assert!(!problems.is_empty());
            let lines = text.split('\n').count();
            assert!(problems.iter().all(|it| it.line >= 1 && it.line <= lines));
        }
    }
});
