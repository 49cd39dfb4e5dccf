//! Any JSON is decoded as an engine's entry and as a configuration; each decoder accepts or rejects
//! it without a panic. A decoded entry of an engine has slots, a port and a service.
#![no_main]

use libfuzzer_sys::fuzz_target;
use lovagedock_direct::{decode_config, decode_endpoint};

fuzz_target!(|bytes: &[u8]| {
    let Ok(spec) = serde_json::from_slice(bytes) else {
        return;
    };
    let _ = decode_config(&spec);
    if let Ok(endpoint) = decode_endpoint("fuzzed", &spec) {
        assert!(endpoint.slots > 0 && endpoint.address.port() > 0);
        assert!(!endpoint.service.is_empty());
    }
});
