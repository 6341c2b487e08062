//! What callers are promised, against an entry before a scripted sidecar.

mod answers;
mod hostile;
mod life;
mod plain;
mod refusals;
mod support;
mod trace;
