//! The conversations of agent programs, their turns, and the requests of these turns.

use std::rc::Rc;

use dunespur_routing::{PromptSegment, RoutingRequest};

use super::scenario::{ENGINES, TARGET_MS};

/// A sequence of turns of one program.
#[derive(Debug, Clone)]
pub struct Conversation {
    pub program: Rc<str>,
    pub session: Rc<str>,
    pub zone: usize,
    pub gateway: usize,
    pub prefix: Vec<PromptSegment>,
    pub turns_left: usize,
    pub is_main: bool,
    pub last_engine: Option<usize>,
    /// A separate random generator, so that the conversation's requests are the same for every policy.
    pub random: fastrand::Rng,
}

/// One turn of a conversation, with the attempts of its request.
#[derive(Debug)]
pub struct Turn {
    pub conversation: Conversation,
    pub started_at: f64,
    pub first_event_at: Option<f64>,
    pub tried: Vec<Rc<str>>,
    pub attempts: usize,
    pub gateway: usize,
    pub key: u64,
}

impl Turn {
    pub fn request(&self, max_tokens: u32, time_left_ms: u64) -> RoutingRequest<'_> {
        let prefix = &self.conversation.prefix;
        RoutingRequest {
            backend: ENGINES,
            program: Some(&self.conversation.program),
            session: Some(&self.conversation.session),
            prefix,
            prompt_tokens: prefix.iter().map(|segment| segment.tokens).sum(),
            max_tokens,
            idempotent: false,
            priority: 0,
            time_left_ms,
            target_ms: TARGET_MS,
            tried: &self.tried,
        }
    }
}

impl Conversation {
    /// Whether the next turn is the first one of a sub-agent, which adds a segment behind its parent's. An asterisk at
    /// the end of the session's name marks this.
    pub fn is_new_subagent(&self) -> bool {
        self.session.ends_with('*')
    }

    pub fn mark_new_subagent(&mut self) {
        self.session = format!("{}*", self.session).into();
    }

    pub fn clear_new_subagent(&mut self) {
        if let Some(name) = self.session.strip_suffix('*') {
            self.session = name.into();
        }
    }
}
