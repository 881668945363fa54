//! Conversions between requests to witnesses and their wire messages.

use ownership::pledge::PledgeStatus;
use ownership::record::WitnessRef;
use ownership::witness::{ConfirmRequest, EndorseRequest};
use snafu::ResultExt;
use world::machine::Incarnation;
use world::name::{CellName, MachineName};

use crate::convert::{self, AddressSnafu, NameSnafu, WireError};
use crate::wire;

/// Converts a coordinator's request for confirmation of its term. The witnesses are sent only
/// while the pledge is given.
#[must_use]
pub fn confirm_to_wire(cell: &CellName, request: &ConfirmRequest) -> wire::ConfirmRequest {
    let witnesses: &[WitnessRef] = match request.pledge.pledged {
        true => &request.witnesses,
        false => &[],
    };
    wire::ConfirmRequest {
        cell: cell.to_string(),
        term: u64::from(request.term.0),
        incarnation: request.witness_incarnation.0,
        coordinator: request.coordinator.to_string(),
        pledge_number: request.pledge.sequence,
        pledged: request.pledge.pledged,
        witnesses: witnesses_to_wire(witnesses),
    }
}

/// Parses a coordinator's request for confirmation of its term.
///
/// # Errors
/// Returns an error that names the first invalid field.
pub fn confirm_from_wire(message: &wire::ConfirmRequest) -> Result<ConfirmRequest, WireError> {
    Ok(ConfirmRequest {
        term: convert::term_from_wire(message.term)?,
        coordinator: machine_name(&message.coordinator, "coordinator")?,
        witness_incarnation: Incarnation(message.incarnation),
        pledge: PledgeStatus {
            sequence: message.pledge_number,
            pledged: message.pledged,
        },
        witnesses: witnesses_from_wire(&message.witnesses)?,
    })
}

/// Converts a candidate's request for endorsement.
#[must_use]
pub fn endorse_to_wire(cell: &CellName, request: &EndorseRequest) -> wire::EndorseRequest {
    wire::EndorseRequest {
        cell: cell.to_string(),
        term: u64::from(request.term.0),
        candidate: request.candidate.to_string(),
        incarnation: request.witness_incarnation.0,
        witnesses: witnesses_to_wire(&request.witnesses),
    }
}

/// Parses a candidate's request for endorsement.
///
/// # Errors
/// Returns an error that names the first invalid field.
pub fn endorse_from_wire(message: &wire::EndorseRequest) -> Result<EndorseRequest, WireError> {
    Ok(EndorseRequest {
        term: convert::term_from_wire(message.term)?,
        candidate: machine_name(&message.candidate, "candidate")?,
        witness_incarnation: Incarnation(message.incarnation),
        witnesses: witnesses_from_wire(&message.witnesses)?,
    })
}

fn machine_name(text: &str, field: &'static str) -> Result<MachineName, WireError> {
    MachineName::from_input(text).context(NameSnafu { field })
}

fn witnesses_to_wire(witnesses: &[WitnessRef]) -> Vec<wire::WitnessInfo> {
    let witnesses = witnesses.iter().map(|witness| wire::WitnessInfo {
        name: witness.name.to_string(),
        incarnation: witness.incarnation.0,
        address: witness.address.to_string(),
    });
    witnesses.collect()
}

fn witnesses_from_wire(witnesses: &[wire::WitnessInfo]) -> Result<Vec<WitnessRef>, WireError> {
    let field = "witnesses";
    let witnesses = witnesses.iter().map(|witness| {
        Ok(WitnessRef {
            name: machine_name(&witness.name, field)?,
            incarnation: Incarnation(witness.incarnation),
            address: witness.address.parse().context(AddressSnafu { field })?,
        })
    });
    witnesses.collect()
}
