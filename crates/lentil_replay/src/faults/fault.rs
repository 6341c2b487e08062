//! Kinds of faults that a run injects.

/// A kind of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum FaultKind {
    /// A message between an entry and a sidecar was lost.
    MessageLost,
    /// A message was delivered twice.
    MessageDoubled,
    /// A dispatch arrived after its link had broken.
    MessageLate,
    /// Messages of a link were reordered.
    MessageCrossed,
    /// A piece came from another boot of the engine.
    PieceCrossed,
    /// A link broke.
    LinkBroken,
    /// An offer was lost, and so was its bid.
    BidLost,
    /// An entry was paused between a decision and its commands.
    EntryPaused,
    /// An entry crashed and restarted.
    EntryCrashed,
    /// An entry was asked to drain.
    EntryDrained,
    /// A sidecar crashed and restarted.
    SidecarCrashed,
    /// A backend server was asked to leave.
    SidecarLeft,
    /// An engine crashed and restarted, not caused by a request.
    EngineCrashed,
    /// An engine restarted with other weights.
    WeightsChanged,
    /// A backend server's answer broke off.
    AnswerBroken,
    /// A request crashed its engine.
    PoisonCrash,
    /// The store refused a call.
    StoreDown,
    /// The store's reply was lost after the call took effect.
    StoreAnswerLost,
    /// A write took effect after its caller had stopped waiting.
    StoreWriteLate,
    /// A caller hung up.
    CallerGone,
}
