//! Emulation of the serving tier's environment: model servers, plain servers, clients, agent programs, the operator
//! and the platform that starts processes. A judge checks what they observed against the rules of the protocol.
//!
//! Tests run the real processes over loopback, where each machine has its own address. An emulated server takes the
//! time that its parameters state or proceeds only when the test lets it ([`Gate`]), so that no test has to sleep.

pub mod client;
mod clock;
pub mod configuration;
mod digest;
pub mod engine;
mod gate;
pub mod heartbeat;
mod identity;
pub mod ingress;
pub mod judge;
pub mod operator;
pub mod plain;
pub mod program;
pub mod record;
pub mod scene;
pub mod server;
pub mod system;
pub mod wire;

pub use clock::Clock;
pub use digest::Digest;
pub use gate::Gate;
pub use identity::{IdentitySource, RequestId};
