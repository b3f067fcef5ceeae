//! Simulated resolvers: their replies to queries, and forged replies.

use super::exchange::{Arrival, ResolverBehavior, SentQuery};
use super::fixtures::{resolver_address, ONE_WAY_DELAY_US};
use super::simulation::Simulation;
use frosthatch_discovery::dnssd::browser::Transport;
use std::net::SocketAddr;

impl Simulation {
    /// Schedules the replies to a query, according to its resolver's behavior.
    pub fn answer_query(&mut self, query: SentQuery) {
        let SentQuery {
            query_id,
            to,
            transport,
            bytes,
        } = query;
        self.queries_sent_at_us.push(self.now_us);
        self.tcp_queries += usize::from(transport == Transport::Tcp);
        let index = usize::from(to.port() - 5300);
        let max_bytes = match transport {
            Transport::Tcp => 65_535,
            Transport::Udp => 1_232,
        };
        let mut answer = self.zones[index]
            .answer(&bytes, max_bytes)
            .expect("the browser sends well-formed queries");
        match self.resolver_behaviors[index] {
            ResolverBehavior::Normal => {}
            ResolverBehavior::Silent => return,
            ResolverBehavior::Code(code) => {
                answer.clone_from(&bytes);
                answer[2] = bytes[2] | 0x84;
                answer[3] = code;
            }
            ResolverBehavior::Garbage => {
                for byte in &mut answer[12..] {
                    *byte = byte.wrapping_mul(31).wrapping_add(97);
                }
            }
            ResolverBehavior::CutOff => answer.truncate(answer.len() / 2),
            ResolverBehavior::OnlyTruncated => {
                if transport == Transport::Tcp {
                    self.schedule(ONE_WAY_DELAY_US, Arrival::QueryFailed { query_id });
                    return;
                }
                answer[2] |= 2;
            }
            ResolverBehavior::Spoofed => self.schedule_forged_replies(query_id, to, &bytes),
        }
        let reply = match transport {
            Transport::Tcp => Arrival::Stream {
                query_id,
                bytes: answer,
            },
            Transport::Udp => Arrival::Datagram {
                query_id,
                from: to,
                bytes: answer,
            },
        };
        self.schedule(2 * ONE_WAY_DELAY_US, reply);
    }

    fn schedule_forged_replies(&mut self, query_id: u64, resolver: SocketAddr, query: &[u8]) {
        let name_error = |id_difference: u8| {
            let mut message = query.to_vec();
            message[0] = query[0] ^ id_difference;
            message[2] = query[2] | 0x84;
            message[3] = 3;
            message
        };
        let mut other_question = name_error(0);
        other_question[13] ^= 1;
        for (from, bytes) in [
            (resolver_address(7), name_error(0)),
            (resolver, name_error(0x40)),
            (resolver, other_question),
        ] {
            let forged = Arrival::Datagram {
                query_id,
                from,
                bytes,
            };
            self.schedule(ONE_WAY_DELAY_US, forged);
        }
    }
}
