//! The count service as it should be, and as it should not: lost, split in two, replaced, slow, lying.

use crate::counter::parse;
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

/// Totals by name, each with its end.
type Book = HashMap<String, (f64, Instant)>;

/// What is wrong with an answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Lie {
    Higher(f64),
    Lower(f64),
    NoNumber,
}

struct World {
    books: Vec<Book>,
    /// The book of each side.
    of_side: [usize; 2],
    /// Parts that say nothing.
    lost: Vec<bool>,
    delay: Duration,
    /// So many of 100 names get that.
    lie: Option<(u64, Lie)>,
    streams: Vec<TcpStream>,
    calls: u64,
}

/// One count service with two addresses: gateways on either side meet the same totals, unless it is split.
pub struct SharedCounter {
    pub sides: [SocketAddr; 2],
    world: Arc<Mutex<World>>,
}

impl SharedCounter {
    pub fn new(parts: usize) -> SharedCounter {
        let world = Arc::new(Mutex::new(World {
            books: vec![Book::new()],
            of_side: [0, 0],
            lost: vec![false; parts],
            delay: Duration::ZERO,
            lie: None,
            streams: Vec::new(),
            calls: 0,
        }));
        let sides = [0, 1].map(|side| {
            let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
            let address = listener.local_addr().expect("an address");
            let world = world.clone();
            thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let world = world.clone();
                    if let Ok(clone) = stream.try_clone() {
                        world.lock().expect("a world").streams.push(clone);
                    }
                    thread::spawn(move || serve(&stream, side, &world));
                }
            });
            address
        });
        SharedCounter { sides, world }
    }

    fn world(&self) -> MutexGuard<'_, World> {
        self.world.lock().expect("a world")
    }

    /// Calls that came, answered or not.
    pub fn calls(&self) -> u64 {
        self.world().calls
    }

    /// Connections that were ever made.
    pub fn connections(&self) -> usize {
        self.world().streams.len()
    }

    /// One part, or all, says nothing any more, or does again.
    pub fn lose(&self, part: Option<usize>, lost: bool) {
        let mut world = self.world();
        let affected = world
            .lost
            .iter_mut()
            .enumerate()
            .filter(|(n, _)| part.is_none_or(|p| p == *n));
        affected.for_each(|(_, l)| *l = lost);
    }

    /// The second side goes on with a copy of its own.
    pub fn split(&self) {
        let mut world = self.world();
        let copy = world.books[world.of_side[0]].clone();
        world.books.push(copy);
        world.of_side[1] = world.books.len() - 1;
    }

    /// Both sides meet the first one's totals again: what the second added since is lost.
    pub fn heal(&self) {
        let mut world = self.world();
        world.of_side[1] = world.of_side[0];
    }

    /// One that starts from zero takes its place, at the same addresses.
    pub fn swap(&self, breaks: bool) {
        let mut world = self.world();
        world.books.push(Book::new());
        world.of_side = [world.books.len() - 1; 2];
        if breaks {
            world
                .streams
                .drain(..)
                .for_each(|s| drop(s.shutdown(Shutdown::Both)));
        }
    }

    /// The one from the start is back.
    pub fn swap_back(&self) {
        self.world().of_side = [0, 0];
    }

    pub fn delay(&self, delay: Duration) {
        self.world().delay = delay;
    }

    pub fn lie(&self, lie: Option<(u64, Lie)>) {
        self.world().lie = lie;
    }
}

/// FNV-1a over a name: which part has it, and who is lied to.
fn hash(name: &str) -> u64 {
    name.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| {
        (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3)
    })
}

/// The answer to a call; none: nothing comes.
fn answer(world: &mut World, side: usize, line: &str) -> Option<String> {
    let Some((name, amount, life)) = parse(line) else {
        return Some(if line == "ping" { "pong" } else { "error" }.into());
    };
    world.calls += 1;
    let whose = hash(name) >> 8;
    let part = whose as usize % world.lost.len();
    if world.lost[part] {
        return None;
    }
    let (book, now) = (world.of_side[side], Instant::now());
    let book = &mut world.books[book];
    if book.len() > 10_000 {
        book.retain(|_, (_, till)| *till > now);
    }
    let total = book.entry(name.into()).or_insert((0.0, now + life));
    if total.1 <= now {
        *total = (0.0, now + life);
    }
    total.0 += amount;
    Some(
        match world.lie.filter(|(share, _)| whose / 16 % 100 < *share) {
            Some((_, Lie::Higher(by))) => format!("ok {}", total.0 + by),
            Some((_, Lie::Lower(by))) => format!("ok {}", total.0 - by),
            Some((_, Lie::NoNumber)) => "ok many".into(),
            None => format!("ok {}", total.0),
        },
    )
}

fn serve(stream: &TcpStream, side: usize, world: &Mutex<World>) {
    let _ = stream.set_nodelay(true);
    let Ok(mut write) = stream.try_clone() else {
        return;
    };
    // Late answers do not hold up each other.
    let (later, due) = channel::<(Instant, String)>();
    thread::spawn(move || {
        for (at, text) in due {
            sleep(at.saturating_duration_since(Instant::now()));
            if write.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    });
    for line in BufReader::new(stream).lines().map_while(Result::ok) {
        let mut world = world.lock().expect("a world");
        let at = Instant::now() + world.delay;
        if let Some(text) = answer(&mut world, side, &line) {
            let _ = later.send((at, format!("{text}\r\n")));
        }
    }
}
