//! Power losses: each write since the last sync is applied, missing or torn, or all of them are missing. Acknowledged
//! writes must survive. To validate the tests, one uses a disk that ignores syncs and expects losses.

mod support;
mod turns;
