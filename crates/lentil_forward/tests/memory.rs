//! Memory that connections take.

use lentil_forward::router::serve_caller;

/// Connections that a router accepts.
const MAX_CALLERS: usize = 2_048;
/// Half of the 128 MB of a daemon is for bodies; a quarter of the rest is for the state of
/// connections, most of which wait for a request.
const MAX_BYTES: usize = (128 << 20) / 2 / 4 / MAX_CALLERS;

/// Size of the future that a function returns, as it is before the function is called.
fn size_of_future<A, B, F: Future>(_: impl Fn(A, B) -> F) -> usize {
    size_of::<F>()
}

/// Guards against routers that exceed their memory in overload: the state of each connection
/// had room for an attempt, several times over.
#[test]
fn a_callers_connection_takes_little_memory() {
    let bytes = size_of_future(serve_caller);
    assert!(bytes <= MAX_BYTES, "{bytes} bytes, {MAX_BYTES} are allowed");
}
