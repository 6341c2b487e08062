//! Faults that a run injects.

/// A kind of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum FaultKind {
    /// A message between entry and sidecar was lost.
    MessageLost,
    /// A message came twice.
    MessageDoubled,
    /// A message came after its exchange was given up.
    MessageLate,
    /// Messages overtook each other.
    MessageCrossed,
    /// A piece came from another life of the engine.
    PieceCrossed,
    /// An exchange broke off.
    LinkBroken,
    /// A bid was lost.
    BidLost,
    /// An entry was paused between a decision and its commands.
    EntryPaused,
    /// An entry crashed and came back.
    EntryCrashed,
    /// An entry was told to drain.
    EntryDrained,
    /// A sidecar crashed and came back.
    SidecarCrashed,
    /// A backend server was told to leave.
    SidecarLeft,
    /// An engine crashed and came back.
    EngineCrashed,
    /// An engine came back with other weights.
    WeightsChanged,
    /// An engine's answer broke off.
    AnswerBroken,
    /// A request crashed its engine.
    PoisonCrash,
    /// The store refused a call.
    StoreDown,
    /// The store's answer was lost after the call took effect.
    StoreAnswerLost,
    /// A write took effect after its caller had given it up.
    StoreWriteLate,
    /// A caller hung up.
    CallerGone,
}
