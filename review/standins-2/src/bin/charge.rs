//! Diameter charges whose client leaves before their first attempt has ended.
use review_standins_2::*;
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

fn main() {
    record::begin(Duration::from_secs(100));
    // Session -> times at which an attempt of it reached a server.
    let attempts: Arc<Mutex<HashMap<String, Vec<f64>>>> = Arc::default();
    let mut targets = Vec::new();
    for (s, host) in ["s0.example.org", "s1.example.org", "s2.example.org"]
        .into_iter()
        .enumerate()
    {
        let attempts = attempts.clone();
        let address = diameter::serve(host, move |ccr| {
            let session = ccr.find_text(diameter::SESSION_ID);
            let mut attempts = attempts.lock().unwrap();
            let times = attempts.entry(session.clone()).or_default();
            times.push(record::now_ms());
            record::note(&format!("{host} gets attempt {} of {session}", times.len()));
            if times.len() == 1 {
                // Turned away: never ran.
                diameter::Reply::Result(200, 3004)
            } else {
                diameter::Reply::Result(10, 2001)
            }
        });
        targets.push(agent::diameter_entry(
            &format!("s-{s}"),
            address,
            s as u32,
            "Ready",
        ));
    }
    let agent = agent::Agent::start(&targets);
    let front = gateway::free_address();
    let operator = format!("[diameter]\nlisten = \"{front}\"\nidentity = \"gw1.example.org\"\nrealm = \"example.org\"\ncheck_class = \"balance-check\"\ncharge_class = \"top-up\"\ndefault_plan = \"mellem\"\n");
    let gateway = gateway::Gateway::start(
        &gateway::Config::new(0, 1, agent.address),
        Some(&operator),
        "n0",
    );
    gateway.wait_ready();
    record::sleep_ms(1_000);
    let address = front.parse().unwrap();
    let (mut late, mut answered, mut charges) = (0, 0, 0);
    for i in 0..10 {
        let session = format!("till.example.org;{i};1");
        let Some(mut client) =
            diameter::Client::connect(address, "till.example.org", Duration::from_secs(3))
        else {
            record::finish(2, "the gateway does not take the client");
        };
        record::note(&format!("client sends the charge {session}"));
        client.send(&diameter::event(&session, "4512345678", 0, 1));
        charges += 1;
        if record::has_trouble() {
            record::sleep_ms(20);
            drop(client);
            let closed = record::now_ms();
            record::note(&format!("client of {session} has closed its connection"));
            record::sleep_ms(1_000);
            let attempts = attempts.lock().unwrap();
            for at in attempts
                .get(&session)
                .into_iter()
                .flatten()
                .filter(|at| **at > closed + 100.0)
            {
                late += 1;
                record::note(&format!(
                    "BREAK: an attempt of {session} began {:.0} ms after the close",
                    at - closed
                ));
            }
        } else {
            let result = client.read().map(|a| a.find_number(diameter::RESULT_CODE));
            record::note(&format!("client of {session} gets {result:?}"));
            answered += i32::from(result.is_some());
        }
    }
    let seen = attempts.lock().unwrap().len();
    let text = format!("{charges} charges, {seen} reached a server, {answered} answered, {late} attempts begun over 0.1 s after their client's close");
    if seen == 0 || (!record::has_trouble() && answered < charges) {
        record::finish(2, &text);
    }
    record::finish(i32::from(late > 0), &text)
}
