//! Addresses on loopback that no other test process uses.

use super::error::SystemError;
use std::net::{IpAddr, Ipv4Addr, TcpListener};
use std::sync::atomic::{AtomicU32, Ordering};

/// Blocks that are tried before reserving fails.
const MAX_BLOCKS: u32 = 4_096;
/// The last address of a block is the sign that the block is taken.
const GUARD: u8 = 255;
const LAST: u8 = 254;
/// First and last block, by their number: 127.1.0.0 to 127.254.255.0.
const FIRST_BLOCK: u32 = 0x01_00;
const BLOCKS: u32 = 0xfe_00;

/// Ports, alike on all machines. Below those that the kernel gives to outgoing connections.
#[derive(Clone, Copy, Debug)]
pub struct Ports {
    /// Gateways listen here for clients.
    pub front: u16,
    /// Gateways answer readiness checks here.
    pub ready: u16,
    /// Gateways listen here for servers and the operator.
    pub control: u16,
    /// First port of the connections between processes.
    pub first_internal: u16,
    /// Last port of the connections between processes.
    pub last_internal: u16,
    /// Servers listen here.
    pub server: u16,
    guard: u16,
}

impl Default for Ports {
    fn default() -> Self {
        Ports {
            front: 8149,
            ready: 8141,
            control: 8144,
            first_internal: 7380,
            last_internal: 7395,
            server: 8080,
            guard: 7379,
        }
    }
}

/// Number of the next block in this process. None is used twice, as a listener may outlive its block.
static NEXT_BLOCK: AtomicU32 = AtomicU32::new(0);

/// 254 addresses, reserved until this is dropped.
#[derive(Debug)]
pub struct AddressBlock {
    first_bytes: [u8; 2],
    used: u8,
    _guard: TcpListener,
}

impl AddressBlock {
    /// Takes a block that no other process and no other test has.
    ///
    /// # Errors
    ///
    /// Fails where no block is free.
    pub fn reserve(ports: Ports) -> Result<AddressBlock, SystemError> {
        let start = std::process::id().wrapping_mul(37);
        for _ in 0..MAX_BLOCKS {
            let offset = NEXT_BLOCK.fetch_add(1, Ordering::SeqCst);
            let number = FIRST_BLOCK + start.wrapping_add(offset) % BLOCKS;
            let first_bytes = [(number >> 8) as u8, number as u8];
            let guard = Ipv4Addr::new(127, first_bytes[0], first_bytes[1], GUARD);
            if let Ok(listener) = TcpListener::bind((guard, ports.guard)) {
                return Ok(AddressBlock {
                    first_bytes,
                    used: 0,
                    _guard: listener,
                });
            }
        }
        Err(SystemError::NoFreeBlock)
    }

    /// An address not given before.
    ///
    /// # Errors
    ///
    /// Fails where all addresses of the block are used.
    pub fn next_address(&mut self) -> Result<IpAddr, SystemError> {
        if self.used == LAST {
            return Err(SystemError::BlockExhausted);
        }
        self.used += 1;
        Ok(Ipv4Addr::new(127, self.first_bytes[0], self.first_bytes[1], self.used).into())
    }
}
