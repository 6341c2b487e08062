//! Replays recorded traces through the policy.
