//! A recorded session on the simulator's wire: several gateways with a counter and messages to each other, one answer for each
//! kind of request of theirs. `RECORD=1 cargo test --test golden_forms` records it anew.
#![expect(clippy::manual_is_multiple_of, clippy::too_many_lines)]

use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io::{BufRead, BufReader, Write};
use std::process::{Child, ChildStdout, Command, Stdio};

const GATEWAYS: u32 = 4;
const STEP_US: u64 = 20_000;
const STEPS: u64 = 500;

struct Session {
    child: Child,
    lines: std::io::Lines<BufReader<ChildStdout>>,
    now: u64,
    batch: u64,
    /// What is due, by time and order.
    due: BTreeMap<(u64, u64), Value>,
    drawn: u64,
    totals: BTreeMap<String, f64>,
    requests: u64,
    legs: BTreeMap<(u64, String), u64>,
    digest: u64,
    /// Of each kind the first ones, as they came.
    first: BTreeMap<String, Vec<String>>,
    counts: BTreeMap<String, u64>,
}

/// With numbers to six places: the last digits of a logarithm are not the same on each machine.
fn rounded(value: &Value) -> Value {
    match value {
        Value::Number(n) if n.is_f64() => json!(format!("{:.6}", n.as_f64().unwrap_or(0.0))),
        Value::Array(all) => all.iter().map(rounded).collect(),
        Value::Object(all) => all.iter().map(|(k, v)| (k.clone(), rounded(v))).collect(),
        other => other.clone(),
    }
}

impl Session {
    fn new() -> Session {
        let mut child = Command::new(env!("CARGO_BIN_EXE_frosthatch-adapter"))
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .expect("the program starts");
        let lines = BufReader::new(child.stdout.take().expect("its output")).lines();
        Session {
            child,
            lines,
            now: 1_000_000,
            batch: 0,
            due: BTreeMap::new(),
            drawn: 88,
            totals: BTreeMap::new(),
            requests: 0,
            legs: BTreeMap::new(),
            digest: 0xcbf2_9ce4_8422_2325,
            first: BTreeMap::new(),
            counts: BTreeMap::new(),
        }
    }

    fn below(&mut self, n: u64) -> u64 {
        self.drawn = self
            .drawn
            .wrapping_mul(0x5851_F42D_4C95_7F2D)
            .wrapping_add(0x1405_7B7E_F767_814F);
        (self.drawn >> 33) % n
    }

    fn later(&mut self, after: u64, message: Value) {
        let order = self.due.len() as u64 + (self.batch << 20);
        self.due.insert((self.now + after, order), message);
    }

    fn send(&mut self, messages: Vec<Value>) {
        self.batch += 1;
        let line = json!({ "timeUs": self.now, "batch": self.batch, "msgs": messages });
        let input = self.child.stdin.as_mut().expect("its input");
        writeln!(input, "{line}")
            .and_then(|()| input.flush())
            .expect("written");
        let reply = self.lines.next().expect("a reply").expect("a line");
        let reply: Value = serde_json::from_str(&reply).expect("a reply in JSON");
        assert_eq!(reply["batch"], self.batch);
        for out in reply["out"].as_array().expect("what it asks for") {
            self.take(out);
        }
    }

    fn take(&mut self, out: &Value) {
        let text = rounded(out).to_string();
        let step = |h: u64, b: u8| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3);
        self.digest = format!("{} {text}\n", self.now)
            .bytes()
            .fold(self.digest, step);
        let (kind, fields) = out
            .as_object()
            .and_then(|o| o.iter().next())
            .expect("one of its kinds");
        *self.counts.entry(kind.clone()).or_default() += 1;
        let examples = self.first.entry(kind.clone()).or_default();
        if examples.len() < 5 && kind != "WriteLog" {
            examples.push(text);
        }
        let i = fields["i"].clone();
        match kind.as_str() {
            "Issue" => {
                let leg = self
                    .legs
                    .entry((i.as_u64().expect("a number"), fields["ref"].to_string()))
                    .or_default();
                let number = *leg;
                *leg += 1;
                let statuses = [
                    "served",
                    "served",
                    "served",
                    "turned_away",
                    "no_answer",
                    "server_error",
                ];
                let status = statuses[self.below(6) as usize];
                let took = 15_000 + self.below(60_000);
                let report = json!({ "inflight": self.below(9), "queue": 1, "latency_ms": 12.5, "other": 1 });
                let response = json!({ "Response": { "i": i, "ref": fields["ref"], "delaySeenUs": took, "leg": number,
                    "status": status, "settled": 0, "server": fields["server"], "over": status == "served",
                    "fleetUse": 1 + self.below(150), "telemetry": report } });
                self.later(took, response);
            }
            "SetTimer" => {
                let offset = fields["offsetUs"].as_u64().expect("a time");
                self.later(
                    offset,
                    json!({ "Alarm": { "i": i, "name": fields["name"] } }),
                );
            }
            "Post" => {
                let to = fields["target"].clone();
                self.later(
                    1_000,
                    json!({ "NeighbourSays": { "i": to, "neighbour": i, "content": fields["content"] } }),
                );
            }
            "PostAmount" => {
                let name = fields["name"].as_str().expect("a name").to_string();
                let total = self.totals.entry(name.clone()).or_default();
                *total += fields["delta"].as_f64().expect("an amount");
                let total = *total;
                let status = if self.below(10) == 0 {
                    "no_answer"
                } else {
                    "served"
                };
                let back = json!({ "TallyBack": { "i": i, "name": name, "status": status, "resultValue": total } });
                self.later(3_000, back);
            }
            _ => {}
        }
    }

    fn start(&mut self, i: u32, counter: bool) {
        let settings = json!({ "balancers": GATEWAYS, "me": i % GATEWAYS, "zone": "a", "discovery": "pushed",
            "familyInfo": { "mailPerS": 50.0, "sharedCounter": counter, "unitsTop": 6, "usePeriodUs": 1_000_000 },
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
            json!({ "Start": { "i": i, "prng": 9 + i, "bootInfo": settings } }),
            json!({ "Announce": { "i": i, "mode": "Persisted", "serial": 1, "items": servers } }),
        ]);
    }

    fn server(&self, n: u32, health: &str) -> Value {
        json!({ "server": format!("h:{n}"), "hall": if n % 2 == 0 { "a" } else { "b" }, "bay": n / 2, "share": 1.0,
            "bornUs": if n == 4 { 900_000 } else { 0 }, "health": health })
    }

    fn run(&mut self) {
        for step in 0..STEPS {
            self.now += STEP_US;
            let mut messages = Vec::new();
            while let Some(entry) = self.due.first_entry() {
                if entry.key().0 > self.now {
                    break;
                }
                messages.push(entry.remove());
            }
            for i in 0..2 * GATEWAYS {
                if self.below(2) == 0 {
                    messages.push(self.request(i));
                }
            }
            let server = match step {
                150 => Some(("Partial", self.server(1, "terminating"))),
                200 => Some(("Complete", self.server(2, "in_service"))),
                250 => Some(("Error", self.server(2, "in_service"))),
                300 => Some(("Partial", self.server(3, "terminated"))),
                _ => None,
            };
            if let Some((mode, item)) = server {
                let items = if mode == "Complete" {
                    (0..4).map(|n| self.server(n, "in_service")).collect()
                } else {
                    vec![item]
                };
                let told = |i: u32| json!({ "Announce": { "i": i, "mode": mode, "serial": 2, "items": items } });
                messages.extend((0..2 * GATEWAYS).map(told));
            }
            if step.wrapping_add(1).is_multiple_of(50) {
                let id = format!("{:016x}", self.requests);
                messages.push(json!({ "TimedOutClient": { "i": self.requests % 8, "ref": id } }));
                messages.push(json!({ "Flowing": { "i": 0, "ref": id } }));
                messages.push(json!({ "ProbeResult": { "i": 1 } }));
            }
            self.send(messages);
        }
        self.send(vec![json!({ "Detach": { "i": 0 } })]);
    }

    fn request(&mut self, i: u32) -> Value {
        self.requests += 1;
        let plan = ["p", "q", "m"][self.below(3) as usize];
        let class = ["r", "k", "o"][self.below(3) as usize];
        json!({ "WorkItem": { "i": i, "ref": format!("{:016x}", self.requests), "firstDoor": 0, "width": GATEWAYS,
            "graceUs": 800_000, "contract": plan, "grade": class, "account": format!("a{}", self.below(3)),
            "costUnits": 1 + self.below(2), "unheard": true } })
    }
}

#[test]
fn a_session_is_the_one_that_was_recorded() {
    let mut session = Session::new();
    // Two fleets: one with the counter, one whose gateways ask each other.
    (0..2 * GATEWAYS).for_each(|i| session.start(i, i < GATEWAYS));
    session.run();
    let mut text = format!("digest {:016x}\n", session.digest);
    for (kind, count) in &session.counts {
        writeln!(text, "{kind} {count}").expect("to memory");
        for example in &session.first[kind] {
            writeln!(text, "  {example}").expect("to memory");
        }
    }
    let path = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden/session.txt");
    if std::env::var_os("RECORD").is_some() {
        return std::fs::write(path, text).expect("written");
    }
    assert_eq!(
        std::fs::read_to_string(path).expect("a recorded file"),
        text,
        "recorded on the left"
    );
}

impl Drop for Session {
    fn drop(&mut self) {
        drop(self.child.stdin.take());
        let _ = self.child.wait();
    }
}
