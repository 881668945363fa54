//! Regenerates `components/peers/src/generated` from the protocol definition.
//! Run it from the repository root after editing `peers.proto`.

use std::error::Error;

fn main() -> Result<(), Box<dyn Error>> {
    let proto = "components/peers/proto/peers.proto";
    let files = protox::compile([proto], ["components/peers/proto"])?;
    tonic_prost_build::configure()
        .bytes(".")
        .build_transport(false)
        .out_dir("components/peers/src/generated")
        .compile_fds(files)?;
    Ok(())
}
