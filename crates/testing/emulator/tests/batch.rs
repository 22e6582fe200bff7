//! Tests of the batch and the KV memory of a model server.

use dunespur_emulator::engine::{Batch, Memory, Prompt, PromptSegment, StepParameters, Ticket};

fn segment(id: u64, tokens: u64) -> PromptSegment {
    PromptSegment { id, tokens }
}

fn prompt(segments: &[PromptSegment], max_tokens: u64, priority: u8) -> Prompt {
    Prompt {
        segments: segments.to_vec(),
        max_tokens,
        priority,
    }
}

fn batch(slots: usize, queue_capacity: usize, memory_tokens: u64) -> Batch {
    Batch::new(
        StepParameters::default(),
        slots,
        queue_capacity,
        Memory::new(memory_tokens),
    )
}

/// Runs steps until the batch is idle; returns the requests in the order in which they ended, and the duration of all
/// steps in microseconds.
fn run_until_idle(batch: &mut Batch) -> (Vec<Ticket>, u64) {
    let mut ended = Vec::new();
    let mut total_us = 0;
    while let Some(duration) = batch.begin_step() {
        total_us += duration;
        ended.extend(
            batch
                .finish_step()
                .into_iter()
                .filter(|token| token.last)
                .map(|token| token.ticket),
        );
        assert!(
            total_us < 60_000_000,
            "the batch is not idle after {total_us} us of steps"
        );
    }
    (ended, total_us)
}

#[test]
fn a_prompt_is_prefilled_once_and_cached_for_the_next() {
    let mut batch = batch(2, 2, 10_000);
    let shared = segment(1, 1_000);
    batch
        .enqueue(prompt(&[shared, segment(2, 100)], 5, 5))
        .unwrap();
    let (_, first_us) = run_until_idle(&mut batch);
    assert_eq!(batch.prompt_tokens_prefilled(), 1_100);
    batch
        .enqueue(prompt(&[shared, segment(3, 50)], 5, 5))
        .unwrap();
    let (_, second_us) = run_until_idle(&mut batch);
    assert_eq!(batch.prompt_tokens_prefilled(), 1_150);
    assert!(second_us < first_us);
}

#[test]
fn a_cached_segment_counts_only_if_all_segments_before_it_are_cached() {
    let mut memory = Memory::new(1_000);
    memory.reserve(&[segment(1, 100), segment(2, 100)]).unwrap();
    assert_eq!(
        memory
            .look_up(&[segment(1, 100), segment(2, 100)])
            .to_prefill,
        0
    );
    assert_eq!(
        memory
            .look_up(&[segment(9, 10), segment(2, 100)])
            .to_prefill,
        110
    );
    assert_eq!(
        memory
            .look_up(&[segment(1, 100), segment(9, 10), segment(2, 100)])
            .cached,
        100
    );
}

#[test]
fn the_least_recently_used_segment_is_evicted() {
    let mut memory = Memory::new(301);
    for id in 1..=3 {
        let segments = [segment(id, 100)];
        memory.reserve(&segments).unwrap();
        memory.release(&segments, 0);
    }
    memory.reserve(&[segment(1, 100)]).unwrap();
    memory.reserve(&[segment(4, 100)]).unwrap();
    assert_eq!(memory.look_up(&[segment(1, 100)]).cached, 100);
    assert_eq!(memory.look_up(&[segment(2, 100)]).cached, 0);
    assert_eq!(memory.look_up(&[segment(3, 100)]).cached, 100);
    assert_eq!(memory.in_use(), 200);
}

#[test]
fn a_request_that_does_not_fit_is_rejected_and_reserves_no_memory() {
    let mut batch = batch(1, 1, 1_000);
    assert!(batch.enqueue(prompt(&[segment(1, 990)], 20, 5)).is_err());
    batch.enqueue(prompt(&[segment(1, 10)], 5, 5)).unwrap();
    batch.enqueue(prompt(&[segment(2, 10)], 5, 5)).unwrap();
    assert!(batch.enqueue(prompt(&[segment(3, 10)], 5, 5)).is_err());
    run_until_idle(&mut batch);
    assert_eq!(batch.memory().in_use(), 0);
}

#[test]
fn an_urgent_request_preempts_a_less_urgent_one() {
    let mut batch = batch(1, 4, 1_000);
    let ordinary = batch.enqueue(prompt(&[segment(1, 10)], 50, 5)).unwrap();
    batch.begin_step();
    batch.finish_step();
    let urgent = batch.enqueue(prompt(&[segment(2, 10)], 5, 0)).unwrap();
    let (ended, _) = run_until_idle(&mut batch);
    assert_eq!(ended, [urgent, ordinary]);
    assert_eq!(batch.preemptions(), 1);
}

#[test]
fn when_memory_runs_out_newer_requests_are_preempted_and_all_requests_end() {
    let mut batch = batch(3, 3, 400);
    let tickets: Vec<Ticket> = (1..=3)
        .map(|id| batch.enqueue(prompt(&[segment(id, 100)], 90, 5)).unwrap())
        .collect();
    let (ended, _) = run_until_idle(&mut batch);
    assert!(batch.preemptions() > 0);
    assert_eq!(ended.len(), 3);
    assert_eq!(ended[0], tickets[0]);
    assert_eq!(batch.memory().in_use(), 0);
}

#[test]
fn cancelled_requests_release_their_memory() {
    let mut batch = batch(2, 2, 10_000);
    let running = batch.enqueue(prompt(&[segment(1, 5_000)], 50, 5)).unwrap();
    batch.begin_step();
    let waiting = batch.enqueue(prompt(&[segment(2, 10)], 50, 5)).unwrap();
    batch.cancel(waiting);
    batch.cancel(running);
    assert_eq!((batch.running(), batch.waiting()), (0, 0));
    assert_eq!(batch.memory().in_use(), 0);
    assert_eq!(
        batch.memory().look_up(&[segment(1, 5_000)]).cached,
        0,
        "a segment whose prefill is incomplete is not cached"
    );
}

/// After random requests, cancellations and steps, all requests end and no memory remains in use.
#[test]
fn random_batches_become_idle() {
    for seed in 0..200 {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut batch = batch(
            random.usize(1..6),
            random.usize(0..4),
            random.u64(300..2_000),
        );
        let mut tickets = Vec::new();
        for _ in 0..100 {
            match random.u8(0..4) {
                0 => {
                    let segments: Vec<PromptSegment> = (0..random.u64(1..4))
                        .map(|_| random.u64(0..8))
                        .map(|id| segment(id, 20 + id))
                        .collect();
                    let request_prompt = prompt(&segments, random.u64(1..60), random.u8(0..10));
                    tickets.extend(batch.enqueue(request_prompt));
                }
                1 if !tickets.is_empty() => {
                    batch.cancel(tickets.swap_remove(random.usize(..tickets.len())))
                }
                _ => {
                    if batch.begin_step().is_some() {
                        batch.finish_step();
                    }
                }
            }
        }
        run_until_idle(&mut batch);
        assert_eq!((batch.running(), batch.waiting()), (0, 0), "seed {seed}");
        assert_eq!(batch.memory().in_use(), 0, "seed {seed}");
    }
}
