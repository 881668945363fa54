//! The announcement by which a back end registers with its local daemon.

use std::net::SocketAddr;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};
use world::contract::{Contract, Operation};
use world::machine::{BackEnd, Incarnation};
use world::name::{NameError, ServiceName};

/// Most slots that a back end may announce.
const MAX_SLOTS: u32 = 10_000;

/// Announcement of a back end, which it repeats at least once a second.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Announcement {
    /// Address on which the back end accepts requests, as IP:PORT.
    pub address: String,
    /// Random number that identifies this run of the back end.
    pub instance: u64,
    /// Service that it offers.
    pub service: String,
    /// True when each key must be owned by one back end at a time.
    pub keyed: bool,
    /// True when it rejects requests with an old fencing token or an expired lease.
    pub checks_fences: bool,
    /// Operations that it offers.
    pub operations: Vec<AnnouncedOperation>,
    /// Largest number of concurrent requests, 1 to 10,000.
    pub slots: u32,
    /// True when it accepts no new requests.
    pub draining: bool,
}

/// One operation of an announced contract.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct AnnouncedOperation {
    /// Name of the operation.
    pub name: String,
    /// True when a request of the operation must run at most once.
    pub order: bool,
}

/// Error in an announcement.
#[derive(Debug, Snafu)]
pub enum AnnouncementError {
    /// A name is invalid.
    #[snafu(display("{field}: {source}"))]
    Name {
        /// Field of the announcement.
        field: &'static str,
        /// The error in the name.
        source: NameError,
    },
    /// The address can't be read.
    #[snafu(display("address {text:?} is not IP:PORT"))]
    Address {
        /// The announced address.
        text: String,
        /// The parse error.
        source: std::net::AddrParseError,
    },
    /// The number of slots is out of range.
    #[snafu(display("slots is {slots}; use 1 to {MAX_SLOTS}"))]
    Slots {
        /// The announced number.
        slots: u32,
    },
    /// The contract has orders but is not keyed.
    #[snafu(display("service {service} has orders and is not keyed; an order needs an owner"))]
    OrdersWithoutKeys {
        /// The service.
        service: String,
    },
}

impl Announcement {
    /// Validates the announcement and returns the back end with its address.
    ///
    /// # Errors
    /// Returns the first error found.
    pub fn check(&self) -> Result<(BackEnd, SocketAddr), AnnouncementError> {
        let address = self.address.parse().context(AddressSnafu {
            text: &self.address,
        })?;
        let service =
            ServiceName::from_input(&self.service).context(NameSnafu { field: "service" })?;
        let operations = self.operations.iter();
        let operations: Result<_, NameError> = operations
            .map(|o| Operation::from_input(&o.name, o.order))
            .collect();
        let operations = operations.context(NameSnafu {
            field: "operations",
        })?;
        if self.slots == 0 || self.slots > MAX_SLOTS {
            return SlotsSnafu { slots: self.slots }.fail();
        }
        let contract = Contract {
            service,
            keyed: self.keyed,
            checks_fences: self.checks_fences,
            operations,
        };
        if !contract.is_consistent() {
            return OrdersWithoutKeysSnafu {
                service: &self.service,
            }
            .fail();
        }
        let back_end = BackEnd {
            instance: Incarnation(self.instance),
            contract,
            slots: self.slots,
            draining: self.draining,
        };
        Ok((back_end, address))
    }
}

#[cfg(test)]
mod tests {
    use rstest::rstest;

    use super::*;

    fn announcement() -> Announcement {
        Announcement {
            address: "127.0.0.1:8000".to_owned(),
            instance: 1,
            service: "credits".to_owned(),
            keyed: true,
            checks_fences: true,
            operations: vec![AnnouncedOperation {
                name: "post".to_owned(),
                order: true,
            }],
            slots: 18,
            draining: false,
        }
    }

    #[test]
    fn accepts_a_consistent_announcement() {
        assert!(announcement().check().is_ok());
    }

    #[rstest]
    #[case(Announcement { address: "here".to_owned(), ..announcement() }, "not IP:PORT")]
    #[case(Announcement { slots: 0, ..announcement() }, "slots is 0")]
    #[case(Announcement { keyed: false, ..announcement() }, "an order needs an owner")]
    #[case(Announcement { service: "a b".to_owned(), ..announcement() }, "service: a name")]
    fn errors_on_a_faulty_announcement(#[case] wrong: Announcement, #[case] message: &str) {
        let error = wrong.check().expect_err("an error").to_string();
        assert!(error.contains(message), "{error}");
    }
}
