//! Kinds of faults that a run injects.

/// A kind of fault. Reports print its name in kebab case.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum FaultKind {
    /// A message between an entry and a sidecar was lost.
    MessageLost,
    /// A message was delivered twice.
    MessageDoubled,
    /// A dispatch was delivered after its link had broken.
    MessageLate,
    /// A message was reordered with others of its link.
    MessageCrossed,
    /// A piece carried the boot id of another boot of the engine.
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
    /// An engine crashed and restarted, without a request that caused it.
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
    /// A write took effect after its caller had stopped waiting for it.
    StoreWriteLate,
    /// A caller hung up.
    CallerGone,
}
