//! Memory for bodies: how much of it each may take, and who waits for it.

use std::{future, pin, task};

use chivebend::decide::memory;
use chivebend::direct::memory as pool;
use chivebend::key;
use futures_util::FutureExt as _;
use slotmap::SlotMap;

const KIB: u64 = 1_024;

/// Memory limit of the process: half of it is for bodies.
const LIMIT: u64 = 24_000 * KIB;

/// Length of a large body.
const LARGE: u64 = 1_000 * KIB;

/// Length of a small body.
const SMALL: u64 = 100 * KIB;

fn customers() -> [memory::Owner; 3] {
    let mut keys = SlotMap::<key::Customer, ()>::with_key();
    [(); 3].map(|()| memory::Owner::Customer(keys.insert(())))
}

fn take_while_room(budget: &mut memory::Budget, owner: memory::Owner, bytes: u64) -> u64 {
    (0..100)
        .take_while(|_| budget.try_take(owner, 0, bytes))
        .count() as u64
}

struct Share {
    name: &'static str,
    // Bodies that are taken first: the owner's index, the length and the number that has room.
    steps: &'static [(Option<usize>, u64, u64)],
}

// Guards against bodies that together take more than their part of the memory, and against those of one
// kind or customer that take the room of others.
#[test]
fn each_body_takes_its_share_of_the_memory() {
    let cases = [
        Share {
            name: "a single customer gets three quarters of the part for large bodies",
            steps: &[(Some(0), LARGE, 6)],
        },
        Share {
            name: "a second customer has room beside one that has its share",
            steps: &[
                (Some(0), LARGE, 6),
                (Some(1), LARGE, 1),
                (Some(2), LARGE, 0),
            ],
        },
        Share {
            name: "small bodies pass beside large ones, also those of the same customer",
            steps: &[
                (Some(0), LARGE, 6),
                (Some(0), SMALL, 15),
                (Some(1), SMALL, 18),
            ],
        },
        Share {
            name: "responses pass beside all requests, up to the maximum",
            steps: &[(Some(0), LARGE, 6), (Some(1), SMALL, 30), (None, LARGE, 3)],
        },
        Share {
            name: "a body larger than all of the memory is admitted alone",
            steps: &[(Some(0), 4 * LIMIT, 1), (None, 1, 0)],
        },
    ];
    for Share { name, steps } in cases {
        let mut budget = memory::Budget::new(LIMIT);
        let customers = customers();
        for (owner, bytes, expected) in steps {
            let owner = owner.map_or(memory::Owner::Response, |n| customers[n]);
            let taken = take_while_room(&mut budget, owner, *bytes);
            assert_eq!(taken, *expected, "{name}: {bytes} bytes of {owner:?}");
        }
        for (owner, bytes, taken) in steps {
            let owner = owner.map_or(memory::Owner::Response, |n| customers[n]);
            budget.release(owner, bytes * taken);
        }
        let left = customers.map(|customer| budget.held_by(customer));
        assert_eq!(left, [0; 3], "{name}");
        assert_eq!(budget.held(), 0, "{name}");
    }
}

// Guards against bodies of unknown length that wait for each other's room: they are told at once.
#[test]
fn a_body_that_grows_is_told_at_once_that_there_is_no_room() {
    let [first, second, _] = customers();
    let pool = pool::Pool::new(LIMIT);
    let mut growing = pool.empty(first);
    assert!(growing.try_grow(SMALL));
    let other = pool.try_take(second, 5 * LARGE).expect("room");
    assert!(!growing.try_grow(3 * LARGE));
    assert_eq!(growing.bytes(), SMALL);
    drop(other);
    assert!(growing.try_grow(3 * LARGE));
    drop(growing);
    assert_eq!(pool.usage(first).held, 0);
}

// Guards against events of streams that take the room of requests, and against requests that leave none to
// events.
#[test]
fn events_and_requests_leave_each_other_room() {
    for has_events_first in [true, false] {
        let mut budget = memory::Budget::new(LIMIT);
        let [first, second, third] = customers();
        let event = memory::Owner::Event;
        let mut owners = [first, second, third, event];
        owners.rotate_right(usize::from(has_events_first));
        let taken = owners.map(|owner| take_while_room(&mut budget, owner, LARGE));
        let mut expected = [6, 1, 0, 2];
        expected.rotate_right(usize::from(has_events_first));
        assert_eq!(taken, expected);
        assert!(budget.try_take(third, 0, SMALL));
    }
}

// Guards against incomplete events that hold all of the room and wait for each other, and against more than
// one that exceeds it.
#[test]
fn one_event_at_a_time_goes_on_without_room() {
    let event = memory::Owner::Event;
    let pool = pool::Pool::new(LIMIT);
    let mut holds = [(); 3].map(|()| pool.empty(event));
    for hold in &mut holds {
        assert!(hold.try_extend(600 * KIB));
    }
    let [mut first, mut second, mut third] = holds;
    assert!(first.try_extend(LARGE) && first.try_extend(LARGE));
    assert!(!second.try_extend(LARGE));
    let mut left = Box::pin(third.extend(LARGE));
    assert!(left.as_mut().now_or_never().is_none());
    let mut next = Box::pin(second.extend(LARGE));
    assert!(next.as_mut().now_or_never().is_none());
    assert_eq!(pool.usage(event).events_waiting, 2);
    drop(left);
    drop(third);
    // There was room for it then, so that another one may exceed it.
    assert!(next.now_or_never().is_none());
    drop(first);
    assert!(second.try_extend(LARGE));
    drop(second);
    assert_eq!(pool.usage(event).held, 0);
}

type Wait<'a> = pin::Pin<Box<dyn Future<Output = Option<pool::Hold>> + 'a>>;

fn is_waiting(wait: &mut Wait<'_>) -> bool {
    let mut cx = task::Context::from_waker(task::Waker::noop());
    future::Future::poll(wait.as_mut(), &mut cx).is_pending()
}

// Guards against room that stays with a body that has left, against a body that overtakes others of
// its customer, and against one that waits because those of another customer do.
#[test]
fn room_goes_to_the_bodies_of_a_customer_in_their_order() {
    let [first, second, third] = customers();
    let pool = pool::Pool::new(LIMIT);
    let held = pool.try_take(first, 5 * LARGE).expect("room");
    let mut gone: Wait<'_> = Box::pin(pool.take(second, 4 * LARGE));
    let mut next: Wait<'_> = Box::pin(pool.take(second, 4 * LARGE));
    assert!(is_waiting(&mut gone) && is_waiting(&mut next));
    // There would be room for it.
    let mut last: Wait<'_> = Box::pin(pool.take(second, LARGE));
    assert!(is_waiting(&mut last));
    assert!(pool.take(second, SMALL).now_or_never().flatten().is_some());
    assert!(pool.take(third, LARGE).now_or_never().flatten().is_some());
    drop(gone);
    drop(held);
    let granted = next.now_or_never().flatten().expect("room");
    assert_eq!(granted.bytes(), 4 * LARGE);
    assert!(last.now_or_never().flatten().is_some());
    drop(granted);
    assert_eq!(pool.usage(first).held, 0);
}

// Guards against bytes that count as released while a copy of them is still being sent.
#[test]
fn bytes_keep_their_memory_until_the_last_copy_is_dropped() {
    let pool = pool::Pool::new(LIMIT);
    let hold = pool.try_take(memory::Owner::Response, 3).expect("room");
    let bytes = hold.attach(vec![1, 2, 3]);
    let copy = bytes.slice(1..2);
    drop(bytes);
    assert_eq!(pool.usage(memory::Owner::Response).held, 3);
    drop(copy);
    assert_eq!(pool.usage(memory::Owner::Response).held, 0);
}
