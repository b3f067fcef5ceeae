//! Compares a session of the adapter with a recorded one. The test plays the simulator: it runs gateways with a shared
//! counter and gateways that send messages to each other, and responds to each kind of message that expects a response.
//! `RECORD=1 cargo test --test golden_forms` records the session anew.
#![expect(clippy::manual_is_multiple_of, clippy::too_many_lines)]

use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io::{BufRead, BufReader, Write};
use std::process::{Child, ChildStdout, Command, Stdio};

/// Number of gateways in each of the two fleets.
const GATEWAYS: u32 = 4;
/// Simulated time between two batches.
const STEP_US: u64 = 20_000;
const STEPS: u64 = 500;

/// A running adapter, and the state of the simulator that the test plays.
struct Session {
    child: Child,
    lines: std::io::Lines<BufReader<ChildStdout>>,
    now_us: u64,
    batch_number: u64,
    /// Messages to send to the adapter, by due time in microseconds and sequence number.
    due: BTreeMap<(u64, u64), Value>,
    random_state: u64,
    counter_totals: BTreeMap<String, f64>,
    request_count: u64,
    attempt_counts: BTreeMap<(u64, String), u64>,
    /// FNV-1a hash of all messages from the adapter and the times of their arrival.
    digest: u64,
    /// The first five messages of each kind except log lines, in order of arrival.
    first: BTreeMap<String, Vec<String>>,
    message_counts: BTreeMap<String, u64>,
}

/// Returns the value with floats rounded to six decimal places, as the last digits of a logarithm
/// differ between machines.
fn round_floats(value: &Value) -> Value {
    match value {
        Value::Number(n) if n.is_f64() => json!(format!("{:.6}", n.as_f64().unwrap_or(0.0))),
        Value::Array(all) => all.iter().map(round_floats).collect(),
        Value::Object(all) => all
            .iter()
            .map(|(k, v)| (k.clone(), round_floats(v)))
            .collect(),
        other => other.clone(),
    }
}

impl Session {
    fn new() -> Session {
        let mut child = Command::new(env!("CARGO_BIN_EXE_frosthatch-adapter"))
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .expect("the adapter starts");
        let lines = BufReader::new(child.stdout.take().expect("stdout is piped")).lines();
        Session {
            child,
            lines,
            now_us: 1_000_000,
            batch_number: 0,
            due: BTreeMap::new(),
            random_state: 88,
            counter_totals: BTreeMap::new(),
            request_count: 0,
            attempt_counts: BTreeMap::new(),
            digest: 0xcbf2_9ce4_8422_2325,
            first: BTreeMap::new(),
            message_counts: BTreeMap::new(),
        }
    }

    /// Returns a pseudo-random number below `n`.
    fn random_below(&mut self, n: u64) -> u64 {
        self.random_state = self
            .random_state
            .wrapping_mul(0x5851_F42D_4C95_7F2D)
            .wrapping_add(0x1405_7B7E_F767_814F);
        (self.random_state >> 33) % n
    }

    /// Schedules a message to be sent to the adapter after a delay in microseconds.
    fn schedule(&mut self, delay_us: u64, message: Value) {
        let sequence = self.due.len() as u64 + (self.batch_number << 20);
        self.due.insert((self.now_us + delay_us, sequence), message);
    }

    /// Sends a batch of messages at the current time, and handles the messages of the reply.
    fn send(&mut self, messages: Vec<Value>) {
        self.batch_number += 1;
        let line = json!({ "timeUs": self.now_us, "batch": self.batch_number, "msgs": messages });
        let input = self.child.stdin.as_mut().expect("stdin is piped");
        writeln!(input, "{line}")
            .and_then(|()| input.flush())
            .expect("the adapter reads its input");
        let reply = self
            .lines
            .next()
            .expect("each batch has a reply")
            .expect("the adapter's output is readable");
        let reply: Value = serde_json::from_str(&reply).expect("a reply is valid JSON");
        assert_eq!(reply["batch"], self.batch_number);
        for message in reply["out"]
            .as_array()
            .expect("a reply holds an array of messages")
        {
            self.process_message(message);
        }
    }

    /// Records a message from the adapter, and schedules the response if the message expects one.
    fn process_message(&mut self, message: &Value) {
        let text = round_floats(message).to_string();
        let fnv1a_step = |h: u64, b: u8| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3);
        self.digest = format!("{} {text}\n", self.now_us)
            .bytes()
            .fold(self.digest, fnv1a_step);
        let (kind, fields) = message
            .as_object()
            .and_then(|o| o.iter().next())
            .expect("a message is an object with its kind as the key");
        *self.message_counts.entry(kind.clone()).or_default() += 1;
        let kind_examples = self.first.entry(kind.clone()).or_default();
        if kind_examples.len() < 5 && kind != "WriteLog" {
            kind_examples.push(text);
        }
        let instance = fields["i"].clone();
        match kind.as_str() {
            "Issue" => {
                let attempt_count = self
                    .attempt_counts
                    .entry((
                        instance
                            .as_u64()
                            .expect("an instance number is an unsigned integer"),
                        fields["ref"].to_string(),
                    ))
                    .or_default();
                let attempt = *attempt_count;
                *attempt_count += 1;
                let statuses = [
                    "served",
                    "served",
                    "served",
                    "turned_away",
                    "no_answer",
                    "server_error",
                ];
                let status = statuses[self.random_below(6) as usize];
                let delay_us = 15_000 + self.random_below(60_000);
                let report = json!({ "inflight": self.random_below(9), "queue": 1, "latency_ms": 12.5, "other": 1 });
                let response = json!({ "Response": { "i": instance, "ref": fields["ref"], "delaySeenUs": delay_us, "leg": attempt,
                    "status": status, "settled": 0, "server": fields["server"], "over": status == "served",
                    "fleetUse": 1 + self.random_below(150), "telemetry": report } });
                self.schedule(delay_us, response);
            }
            "SetTimer" => {
                let offset = fields["offsetUs"]
                    .as_u64()
                    .expect("a timer's offset is an unsigned integer");
                self.schedule(
                    offset,
                    json!({ "Alarm": { "i": instance, "name": fields["name"] } }),
                );
            }
            "Post" => {
                let to = fields["target"].clone();
                self.schedule(
                    1_000,
                    json!({ "NeighbourSays": { "i": to, "neighbour": instance, "content": fields["content"] } }),
                );
            }
            "PostAmount" => {
                let name = fields["name"]
                    .as_str()
                    .expect("a counter total has a name")
                    .to_string();
                let total = self.counter_totals.entry(name.clone()).or_default();
                *total += fields["delta"]
                    .as_f64()
                    .expect("the amount for a counter total is a number");
                let total = *total;
                let status = if self.random_below(10) == 0 {
                    "no_answer"
                } else {
                    "served"
                };
                let reply = json!({ "TallyBack": { "i": instance, "name": name, "status": status, "resultValue": total } });
                self.schedule(3_000, reply);
            }
            _ => {}
        }
    }

    /// Starts an instance that uses the shared counter or not, and sends it a list of five servers.
    fn start(&mut self, instance: u32, has_counter: bool) {
        let settings = json!({ "balancers": GATEWAYS, "me": instance % GATEWAYS, "zone": "a", "discovery": "pushed",
            "familyInfo": { "mailPerS": 50.0, "sharedCounter": has_counter, "unitsTop": 6, "usePeriodUs": 1_000_000 },
            "limits": { "cancel": true, "maxAttempts": 3, "maxRetryAfterUs": 2_000_000, "parallelTries": true,
                "peerMessages": true, "retryAfter": true },
            "penalties": { "crossZone": 0.1 },
            "rules": { "coldFrom": 0.27, "coldUs": 18_000_000, "tipAfterUs": 3_000_000, "tipMultiple": 4.0 },
            "services": [
                { "name": "r", "effect": "repeatable", "aimUs": 300_000, "deadlineUs": 900_000, "worth": 1, "lateWorth": 0.2 },
                { "name": "k", "effect": "by_key", "dedupScope": "cell", "windowUs": 400_000, "aimUs": 300_000,
                  "deadlineUs": 900_000, "worth": 3 },
                { "name": "o", "effect": "once", "aimUs": 300_000, "deadlineUs": 900_000, "worth": 2 }],
            "tariffs": [
                { "name": "p", "unitsPerS": 20, "burst": 20, "pays": 1, "excessWorth": 0.3, "overrunCost": 1 },
                { "name": "q", "unitsPerS": 20, "burst": 20, "pays": 2, "ceilingRate": 30, "capDepth": 30, "excessWorth": 0.3 },
                { "name": "m", "maxOut": 3, "pays": 1, "overrunCost": 0.5 }] });
        let servers: Vec<Value> = (0..5).map(|n| self.server(n, "in_service")).collect();
        self.send(vec![
            json!({ "Start": { "i": instance, "prng": 9 + instance, "bootInfo": settings } }),
            json!({ "Announce": { "i": instance, "mode": "Persisted", "serial": 1, "items": servers } }),
        ]);
    }

    /// Returns the endpoint list entry of server `n`.
    fn server(&self, n: u32, health: &str) -> Value {
        json!({ "server": format!("h:{n}"), "hall": if n % 2 == 0 { "a" } else { "b" }, "bay": n / 2, "share": 1.0,
            "bornUs": if n == 4 { 900_000 } else { 0 }, "health": health })
    }

    /// Runs all steps. Each step sends the due messages and random requests. Steps 150, 200, 250 and 300 add an update of
    /// the endpoint list; every 50th step adds a client that gives up, a streamed response and a health check result.
    fn run(&mut self) {
        for step in 0..STEPS {
            self.now_us += STEP_US;
            let mut messages = Vec::new();
            while let Some(entry) = self.due.first_entry() {
                if entry.key().0 > self.now_us {
                    break;
                }
                messages.push(entry.remove());
            }
            for instance in 0..2 * GATEWAYS {
                if self.random_below(2) == 0 {
                    messages.push(self.request(instance));
                }
            }
            let update = match step {
                150 => Some(("Partial", self.server(1, "terminating"))),
                200 => Some(("Complete", self.server(2, "in_service"))),
                250 => Some(("Error", self.server(2, "in_service"))),
                300 => Some(("Partial", self.server(3, "terminated"))),
                _ => None,
            };
            if let Some((mode, item)) = update {
                let items = if mode == "Complete" {
                    (0..4).map(|n| self.server(n, "in_service")).collect()
                } else {
                    vec![item]
                };
                let announce = |instance: u32| json!({ "Announce": { "i": instance, "mode": mode, "serial": 2, "items": items } });
                messages.extend((0..2 * GATEWAYS).map(announce));
            }
            if step.wrapping_add(1).is_multiple_of(50) {
                let id = format!("{:016x}", self.request_count);
                messages
                    .push(json!({ "TimedOutClient": { "i": self.request_count % 8, "ref": id } }));
                messages.push(json!({ "Flowing": { "i": 0, "ref": id } }));
                messages.push(json!({ "ProbeResult": { "i": 1 } }));
            }
            self.send(messages);
        }
        self.send(vec![json!({ "Detach": { "i": 0 } })]);
    }

    /// Returns a random request to an instance.
    fn request(&mut self, instance: u32) -> Value {
        self.request_count += 1;
        let plan = ["p", "q", "m"][self.random_below(3) as usize];
        let class = ["r", "k", "o"][self.random_below(3) as usize];
        json!({ "WorkItem": { "i": instance, "ref": format!("{:016x}", self.request_count), "firstDoor": 0, "width": GATEWAYS,
            "graceUs": 800_000, "contract": plan, "grade": class, "account": format!("a{}", self.random_below(3)),
            "costUnits": 1 + self.random_below(2), "unheard": true } })
    }
}

#[test]
fn session_output_matches_the_recording() {
    let mut session = Session::new();
    // Two fleets: the gateways of the first use the shared counter, those of the second send messages to each other.
    (0..2 * GATEWAYS).for_each(|instance| session.start(instance, instance < GATEWAYS));
    session.run();
    let mut text = format!("digest {:016x}\n", session.digest);
    for (kind, count) in &session.message_counts {
        writeln!(text, "{kind} {count}").expect("writing to a `String` cannot fail");
        for example in &session.first[kind] {
            writeln!(text, "  {example}").expect("writing to a `String` cannot fail");
        }
    }
    let path = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden/session.txt");
    if std::env::var_os("RECORD").is_some() {
        return std::fs::write(path, text).expect("the recording is writable");
    }
    assert_eq!(
        std::fs::read_to_string(path).expect("the recording is readable"),
        text,
        "the session equals the recording (left)"
    );
}

impl Drop for Session {
    fn drop(&mut self) {
        drop(self.child.stdin.take());
        let _ = self.child.wait();
    }
}
