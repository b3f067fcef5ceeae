//! Test double of the counter service with faults: silent, partitioned, replaced, slow, or with wrong answers.

use crate::counter::parse_bump;
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

/// Totals by name, each with the time at which it expires.
type Totals = HashMap<String, (f64, Instant)>;

/// Fault of an answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AnswerFault {
    /// The total is too high by this amount.
    Higher(f64),
    /// The total is too low by this amount.
    Lower(f64),
    /// The answer holds no number.
    NotANumber,
}

/// State behind both addresses.
struct CounterState {
    /// Totals of the original service, of copies made by a partition, and of replacements.
    all_totals: Vec<Totals>,
    /// Index in `all_totals` of the totals that each side uses.
    totals_of_side: [usize; 2],
    /// Whether calls are left unanswered, for each part of the names.
    silent: Vec<bool>,
    delay: Duration,
    /// Percentage of names whose answers are wrong, and the fault of those answers.
    answer_fault: Option<(u64, AnswerFault)>,
    streams: Vec<TcpStream>,
    calls: u64,
}

/// Counter service with two addresses, or sides, that share the same totals unless they are partitioned.
pub struct SharedCounter {
    pub sides: [SocketAddr; 2],
    state: Arc<Mutex<CounterState>>,
}

impl SharedCounter {
    /// Starts the service; its names are divided into `parts` parts by hash.
    pub fn new(parts: usize) -> SharedCounter {
        let state = Arc::new(Mutex::new(CounterState {
            all_totals: vec![Totals::new()],
            totals_of_side: [0, 0],
            silent: vec![false; parts],
            delay: Duration::ZERO,
            answer_fault: None,
            streams: Vec::new(),
            calls: 0,
        }));
        let sides = [0, 1].map(|side| {
            let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
            let address = listener
                .local_addr()
                .expect("a bound listener has an address");
            let state = state.clone();
            thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let state = state.clone();
                    if let Ok(clone) = stream.try_clone() {
                        state
                            .lock()
                            .expect("no thread panics while it holds the state")
                            .streams
                            .push(clone);
                    }
                    thread::spawn(move || serve(&stream, side, &state));
                }
            });
            address
        });
        SharedCounter { sides, state }
    }

    fn state(&self) -> MutexGuard<'_, CounterState> {
        self.state
            .lock()
            .expect("no thread panics while it holds the state")
    }

    /// Returns the number of valid `bump` calls received, answered or not.
    pub fn calls(&self) -> u64 {
        self.state().calls
    }

    /// Returns the number of connections accepted since the start, or since they were last closed by
    /// [`SharedCounter::replace`].
    pub fn connections(&self) -> usize {
        self.state().streams.len()
    }

    /// Stops or resumes answering calls for one part, or for all.
    pub fn set_silent(&self, part: Option<usize>, silent: bool) {
        let mut state = self.state();
        let affected = state
            .silent
            .iter_mut()
            .enumerate()
            .filter(|(n, _)| part.is_none_or(|p| p == *n));
        affected.for_each(|(_, part_lost)| *part_lost = silent);
    }

    /// Partitions the sides: the second continues with a copy of the totals.
    pub fn split(&self) {
        let mut state = self.state();
        let copy = state.all_totals[state.totals_of_side[0]].clone();
        state.all_totals.push(copy);
        state.totals_of_side[1] = state.all_totals.len() - 1;
    }

    /// Ends the partition: both sides use the first side's totals, and what the second has added since is lost.
    pub fn heal(&self) {
        let mut state = self.state();
        state.totals_of_side[1] = state.totals_of_side[0];
    }

    /// Replaces the service, at the same addresses, by one whose totals start at 0. Closes all connections if
    /// `close_connections` is set.
    pub fn replace(&self, close_connections: bool) {
        let mut state = self.state();
        state.all_totals.push(Totals::new());
        state.totals_of_side = [state.all_totals.len() - 1; 2];
        if close_connections {
            state
                .streams
                .drain(..)
                .for_each(|stream| drop(stream.shutdown(Shutdown::Both)));
        }
    }

    /// Returns to the totals of the original service.
    pub fn restore_original(&self) {
        self.state().totals_of_side = [0, 0];
    }

    /// Delays each answer by this much from now on.
    pub fn set_delay(&self, delay: Duration) {
        self.state().delay = delay;
    }

    /// Sets the percentage of names whose answers are wrong and the fault of those answers; `None` ends the fault.
    pub fn set_answer_fault(&self, answer_fault: Option<(u64, AnswerFault)>) {
        self.state().answer_fault = answer_fault;
    }
}

/// Returns the FNV-1a hash of a name, which decides its part and whether its answers are wrong.
fn hash(name: &str) -> u64 {
    name.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| {
        (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3)
    })
}

/// Returns the answer to a call; `None` if it is not answered.
fn answer(state: &mut CounterState, side: usize, line: &str) -> Option<String> {
    let Some((name, amount, lifetime)) = parse_bump(line) else {
        return Some(if line == "ping" { "pong" } else { "error" }.into());
    };
    state.calls += 1;
    let name_hash = hash(name) >> 8;
    let part = name_hash as usize % state.silent.len();
    if state.silent[part] {
        return None;
    }
    let (index, now) = (state.totals_of_side[side], Instant::now());
    let totals = &mut state.all_totals[index];
    if totals.len() > 10_000 {
        totals.retain(|_, (_, expires)| *expires > now);
    }
    let total = totals.entry(name.into()).or_insert((0.0, now + lifetime));
    if total.1 <= now {
        *total = (0.0, now + lifetime);
    }
    total.0 += amount;
    Some(
        match state
            .answer_fault
            .filter(|(share, _)| name_hash / 16 % 100 < *share)
        {
            Some((_, AnswerFault::Higher(amount))) => format!("ok {}", total.0 + amount),
            Some((_, AnswerFault::Lower(amount))) => format!("ok {}", total.0 - amount),
            Some((_, AnswerFault::NotANumber)) => "ok many".into(),
            None => format!("ok {}", total.0),
        },
    )
}

/// Answers the calls of one connection.
fn serve(stream: &TcpStream, side: usize, state: &Mutex<CounterState>) {
    let _ = stream.set_nodelay(true);
    let Ok(mut write) = stream.try_clone() else {
        return;
    };
    // A separate thread delays the answers, so that the next call is read meanwhile and the delays of answers do
    // not add up.
    let (answer_sender, answers) = channel::<(Instant, String)>();
    thread::spawn(move || {
        for (due, text) in answers {
            sleep(due.saturating_duration_since(Instant::now()));
            if write.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    });
    for line in BufReader::new(stream).lines().map_while(Result::ok) {
        let mut state = state
            .lock()
            .expect("no thread panics while it holds the state");
        let due = Instant::now() + state.delay;
        if let Some(text) = answer(&mut state, side, &line) {
            let _ = answer_sender.send((due, format!("{text}\r\n")));
        }
    }
}
