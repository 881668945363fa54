//! What a process decodes, announced to its peers.

/// What a process decodes beyond the frames that all versions have in common.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Features {
    /// [`Frame::CrashReports`](super::Frame::CrashReports), [`Blocked`](super::RejectReason::Blocked),
    /// [`Isolated`](super::RejectReason::Isolated) and
    /// [`TurnedAway`](super::RejectReason::TurnedAway).
    pub crash_reports: bool,
    /// [`Frame::CrashReportsWithExits`](super::Frame::CrashReportsWithExits).
    pub crash_exits: bool,
    /// [`Frame::StatusUpdate`](super::Frame::StatusUpdate).
    pub status_updates: bool,
    /// [`StoreResponse::era`](platform::store::StoreResponse::era),
    /// [`Frame::KeyClaim`](super::Frame::KeyClaim) and [`Frame::StoreEra`](super::Frame::StoreEra).
    pub store_eras: bool,
    /// Versions of the configuration in [`NodeStatus`](super::NodeStatus) and
    /// [`Frame::Catalog`](super::Frame::Catalog), which were revisions of its object before.
    pub configuration_versions: bool,
    /// [`Frame::Departures`](super::Frame::Departures).
    pub departures: bool,
    /// [`Frame::Evacuations`](super::Frame::Evacuations) and
    /// [`WrongRegion`](super::RejectReason::WrongRegion).
    pub evacuations: bool,
    /// [`Frame::LargeRequest`](super::Frame::LargeRequest),
    /// [`Frame::LargeResponse`](super::Frame::LargeResponse) and
    /// [`Frame::BodyPart`](super::Frame::BodyPart).
    pub streams: bool,
    /// Ranks in [`ForwardedRequest::priority`](super::ForwardedRequest::priority), which was the
    /// priority alone before.
    pub call_ranks: bool,
    /// [`Frame::PackedCatalog`](super::Frame::PackedCatalog).
    pub packed_catalogs: bool,
}

impl Features {
    /// Features of this version.
    pub const SUPPORTED: Self = Self {
        crash_reports: true,
        crash_exits: true,
        status_updates: true,
        store_eras: true,
        configuration_versions: true,
        departures: true,
        evacuations: true,
        streams: true,
        call_ranks: true,
        packed_catalogs: true,
    };
    const CRASH_REPORTS_BIT: u32 = 1;
    const CRASH_EXITS_BIT: u32 = 1 << 1;
    const STATUS_UPDATES_BIT: u32 = 1 << 2;
    const STORE_ERAS_BIT: u32 = 1 << 3;
    const CONFIGURATION_VERSIONS_BIT: u32 = 1 << 4;
    const DEPARTURES_BIT: u32 = 1 << 5;
    const EVACUATIONS_BIT: u32 = 1 << 6;
    const STREAMS_BIT: u32 = 1 << 7;
    const CALL_RANKS_BIT: u32 = 1 << 8;
    const PACKED_CATALOGS_BIT: u32 = 1 << 9;

    pub(super) fn encode(self) -> Result<Vec<u8>, postcard::Error> {
        let flags = [
            (self.crash_reports, Self::CRASH_REPORTS_BIT),
            (self.crash_exits, Self::CRASH_EXITS_BIT),
            (self.status_updates, Self::STATUS_UPDATES_BIT),
            (self.store_eras, Self::STORE_ERAS_BIT),
            (
                self.configuration_versions,
                Self::CONFIGURATION_VERSIONS_BIT,
            ),
            (self.departures, Self::DEPARTURES_BIT),
            (self.evacuations, Self::EVACUATIONS_BIT),
            (self.streams, Self::STREAMS_BIT),
            (self.call_ranks, Self::CALL_RANKS_BIT),
            (self.packed_catalogs, Self::PACKED_CATALOGS_BIT),
        ];
        let set = flags.iter().filter(|(is_set, _)| *is_set);
        let bits: u32 = set.map(|(_, bit)| bit).sum();
        postcard::to_stdvec(&bits)
    }

    /// Decodes the bytes that follow a `Hello`, none from a version without features.
    pub(super) fn decode(bytes: &[u8]) -> Result<Self, postcard::Error> {
        if bytes.is_empty() {
            return Ok(Self::default());
        }
        let bits: u32 = postcard::from_bytes(bytes)?;
        Ok(Self {
            crash_reports: bits & Self::CRASH_REPORTS_BIT != 0,
            crash_exits: bits & Self::CRASH_EXITS_BIT != 0,
            status_updates: bits & Self::STATUS_UPDATES_BIT != 0,
            store_eras: bits & Self::STORE_ERAS_BIT != 0,
            configuration_versions: bits & Self::CONFIGURATION_VERSIONS_BIT != 0,
            departures: bits & Self::DEPARTURES_BIT != 0,
            evacuations: bits & Self::EVACUATIONS_BIT != 0,
            streams: bits & Self::STREAMS_BIT != 0,
            call_ranks: bits & Self::CALL_RANKS_BIT != 0,
            packed_catalogs: bits & Self::PACKED_CATALOGS_BIT != 0,
        })
    }
}
