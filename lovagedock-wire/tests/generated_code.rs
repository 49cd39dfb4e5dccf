//! Checks that the committed code was generated from the committed schema.

use expect_test::expect_file;

const SCHEMA: &[u8] = include_bytes!("../schema/lovagedock.capnp");
const CODE: &[u8] = include_bytes!("../src/lovagedock_capnp.rs");

/// Guards against a schema change without regenerating the code, and against edits of the generated
/// code. Processes built from such code would use another protocol than the published schema,
/// without any build error. docs/OPERATING.md, "Changing the protocol", explains how to regenerate
/// the code and record the digests.
#[test]
fn generated_code_matches_the_schema() {
    let schema = blake3::hash(SCHEMA).to_hex();
    let code = blake3::hash(CODE).to_hex();
    let digests = format!("schema {schema}\ncode {code}\n");
    expect_file!["../src/lovagedock_capnp.digests"].assert_eq(&digests);
}
