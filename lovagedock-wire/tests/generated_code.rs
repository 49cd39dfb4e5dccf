//! The committed code goes with the schema that it was generated from.

use expect_test::expect_file;

const SCHEMA: &[u8] = include_bytes!("../schema/lovagedock.capnp");
const CODE: &[u8] = include_bytes!("../src/lovagedock_capnp.rs");

/// Somebody changes the schema and forgets to generate, or edits the generated code: processes
/// built from it would then disagree with the published schema without any error in the build.
/// docs/OPERATING.md, "Changing the protocol", tells how to generate and to record the digests.
#[test]
fn generated_code_is_of_this_schema() {
    let schema = blake3::hash(SCHEMA).to_hex();
    let code = blake3::hash(CODE).to_hex();
    let digests = format!("schema {schema}\ncode {code}\n");
    expect_file!["../src/lovagedock_capnp.digests"].assert_eq(&digests);
}
