//! Simulated push server, which serves the first zone.

use super::exchange::{Arrival, Subscription};
use super::fixtures::ONE_WAY_DELAY_US;
use super::simulation::Simulation;
use frosthatch_test_doubles::Zone;

impl Simulation {
    /// Accepts the connection if `push_server_is_up`, otherwise refuses it.
    pub fn handle_push_connection(&mut self) {
        self.push_connections += 1;
        let result = if self.push_server_is_up {
            Arrival::PushOpened
        } else {
            Arrival::PushClosed
        };
        self.subscriptions = self.push_server_is_up.then(Vec::new);
        self.schedule(2 * ONE_WAY_DELAY_US, result);
    }

    /// Responds to a request from the push client, and pushes the existing records of a subscription.
    pub fn handle_push_request(&mut self, request: &[u8]) {
        if self.push_server_is_silent || self.subscriptions.is_none() {
            return;
        }
        let mut response = request[..12].to_vec();
        response[2] |= 0x80;
        let is_keepalive = request[13] == 1;
        if is_keepalive {
            response.extend(&request[12..]);
            self.schedule(2 * ONE_WAY_DELAY_US, Arrival::PushMessage(response));
            return;
        }
        let subscription = Subscription::parse(request);
        let record_type = subscription.record_type;
        let records: Vec<Vec<u8>> = self.zones[0]
            .records(&subscription.name)
            .iter()
            .filter(|rr| record_type == 255 || rr.rtype().to_int() == record_type)
            .map(|rr| rr.encode_for_push(&subscription.name, 10))
            .collect();
        if let Some(subscriptions) = &mut self.subscriptions {
            subscriptions.push(subscription);
        }
        self.schedule(2 * ONE_WAY_DELAY_US, Arrival::PushMessage(response));
        if !records.is_empty() {
            let message = push_message(&records);
            self.schedule(2 * ONE_WAY_DELAY_US, Arrival::PushMessage(message));
        }
    }

    /// Changes the first zone, and pushes those changes that match a subscription.
    pub fn change_zone(&mut self, change: impl FnOnce(&mut Zone)) {
        change(&mut self.zones[0]);
        let changes = self.zones[0].take_changes();
        if self.push_server_is_silent {
            return;
        }
        let Some(subscriptions) = &self.subscriptions else {
            return;
        };
        let records: Vec<Vec<u8>> = changes
            .iter()
            .filter(|change| subscriptions.iter().any(|s| s.covers(change)))
            .map(|change| {
                let ttl = if change.added { 10 } else { u32::MAX };
                change.rr.encode_for_push(&change.owner, ttl)
            })
            .collect();
        if !records.is_empty() {
            self.send_push_message(push_message(&records));
        }
    }

    /// Sends a message to the push client; it may be invalid.
    pub fn send_push_message(&mut self, message: Vec<u8>) {
        self.schedule(ONE_WAY_DELAY_US, Arrival::PushMessage(message));
    }

    /// Closes the push connection from the server's side.
    pub fn drop_push_connection(&mut self) {
        self.subscriptions = None;
        self.schedule(ONE_WAY_DELAY_US, Arrival::PushClosed);
    }
}

/// Encodes a PUSH message with these records.
pub fn push_message(records: &[Vec<u8>]) -> Vec<u8> {
    let data = records.concat();
    let mut message = vec![0, 0, 6 << 3, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0x41];
    message.extend((data.len() as u16).to_be_bytes());
    message.extend(data);
    message
}
