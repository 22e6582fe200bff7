//! Turns of programs kept on several store machines: placement, chains, handoff, repair, retention.
