//! Blocks of loopback addresses, each reserved for one test.

use super::error::SystemError;
use std::net::{IpAddr, Ipv4Addr, TcpListener};
use std::sync::atomic::{AtomicU32, Ordering};

/// Number of blocks that are tried before a reservation fails.
const MAX_BLOCKS: u32 = 4_096;
/// Last byte of a block's guard address; a listener bound to it marks the block as taken.
const GUARD_BYTE: u8 = 255;
/// Last byte of the last address that a block gives out.
const MAX_ADDRESS_BYTE: u8 = 254;
/// Number of the first block, 127.1.0.0.
const FIRST_BLOCK: u32 = 0x01_00;
/// Number of blocks; the last one is 127.254.255.0.
const BLOCK_COUNT: u32 = 0xfe_00;

/// Ports, the same on all machines. They lie below the range that the kernel uses for outgoing connections.
#[derive(Clone, Copy, Debug)]
pub struct Ports {
    /// Port on which gateways listen for clients.
    pub front: u16,
    /// Port on which gateways answer readiness checks.
    pub ready: u16,
    /// Port on which gateways listen for servers and the operator.
    pub control: u16,
    /// First port for connections between processes.
    pub first_internal: u16,
    /// Last port for connections between processes.
    pub last_internal: u16,
    /// Port on which servers listen.
    pub server: u16,
    /// Port of the listener that marks a block as taken.
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

/// Offset of the next block to try in this process. No block is used twice, as a listener may outlive its block.
static NEXT_BLOCK: AtomicU32 = AtomicU32::new(0);

/// A block of 254 addresses, reserved until this is dropped.
#[derive(Debug)]
pub struct AddressBlock {
    first_bytes: [u8; 2],
    /// Number of addresses given out.
    used: u8,
    _guard: TcpListener,
}

impl AddressBlock {
    /// Reserves a block that no other process or test uses.
    ///
    /// # Errors
    ///
    /// Fails where no block is free.
    pub fn reserve(ports: Ports) -> Result<AddressBlock, SystemError> {
        let start = std::process::id().wrapping_mul(37);
        for _ in 0..MAX_BLOCKS {
            let offset = NEXT_BLOCK.fetch_add(1, Ordering::SeqCst);
            let number = FIRST_BLOCK + start.wrapping_add(offset) % BLOCK_COUNT;
            let first_bytes = [(number >> 8) as u8, number as u8];
            let guard = Ipv4Addr::new(127, first_bytes[0], first_bytes[1], GUARD_BYTE);
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

    /// The next unused address of the block.
    ///
    /// # Errors
    ///
    /// Fails where all addresses of the block are used.
    pub fn next_address(&mut self) -> Result<IpAddr, SystemError> {
        if self.used == MAX_ADDRESS_BYTE {
            return Err(SystemError::BlockExhausted);
        }
        self.used += 1;
        Ok(Ipv4Addr::new(127, self.first_bytes[0], self.first_bytes[1], self.used).into())
    }
}
