//! A program's counter of tokens and the leases that limiters hold on it.
