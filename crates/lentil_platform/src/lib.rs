//! Client of the platform's object API and instance list.
