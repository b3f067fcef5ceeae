//! Reads the `[dns-sd]` table and its subtable `[dns-sd.push]`.

use frosthatch_config_reader::{ConfigReader, TableReader};
use frosthatch_discovery::dnssd::{
    read_trust_anchor, DnsSdConfig, PushConfig, MAX_RESOLVERS, MAX_SERVICES,
};
use std::net::SocketAddr;
use std::path::Path;

const SERVICE_HINT: &str =
    "write names as \"_topup._tcp.example.org\", with the same service and domain";
const RESOLVER_HINT: &str = "write addresses as \"127.0.0.1:53\"";

pub(super) fn read(
    reader: &mut ConfigReader,
    mut table: TableReader,
    folder: &Path,
) -> DnsSdConfig {
    let services = table.read_strings(reader, "services", 1..=MAX_SERVICES, SERVICE_HINT);
    let resolvers = table.read_parsed_strings::<SocketAddr>(
        reader,
        "resolvers",
        1..=MAX_RESOLVERS,
        RESOLVER_HINT,
    );
    let mut config = read_intervals_and_limits(reader, &mut table);
    config.resolvers = resolvers;
    if config.min_poll_interval > config.max_poll_interval {
        reader.report(
            table.span_of("poll_least_ms"),
            "poll_least_ms is above poll_most_ms",
            "set poll_least_ms to at most poll_most_ms",
        );
    }
    if let Some(push) = table.read_table(reader, "push") {
        config.push = Some(read_push(reader, push, folder));
    }
    if let Err(error) = config.add_services(&services) {
        reader.report(table.span_of("services"), error, SERVICE_HINT);
    }
    table.finish(reader);
    config
}

fn read_intervals_and_limits(reader: &mut ConfigReader, table: &mut TableReader) -> DnsSdConfig {
    let defaults = DnsSdConfig::default();
    DnsSdConfig {
        min_poll_interval: table.read_milliseconds(
            reader,
            "poll_least_ms",
            20..=10_000,
            defaults.min_poll_interval,
        ),
        max_poll_interval: table.read_milliseconds(
            reader,
            "poll_most_ms",
            20..=60_000,
            defaults.max_poll_interval,
        ),
        query_timeout: table.read_milliseconds(
            reader,
            "timeout_ms",
            10..=5_000,
            defaults.query_timeout,
        ),
        queries_per_s: table.read_integer(
            reader,
            "queries_per_s",
            10..=10_000,
            defaults.queries_per_s.into(),
        ) as u32,
        confirmation_time: table.read_milliseconds(
            reader,
            "confirm_ms",
            50..=60_000,
            defaults.confirmation_time,
        ),
        max_loss_share: table.read_fraction(reader, "loss_share", defaults.max_loss_share),
        mass_loss_hold: table.read_milliseconds(
            reader,
            "loss_hold_ms",
            0..=3_600_000,
            defaults.mass_loss_hold,
        ),
        drain_time: table.read_milliseconds(
            reader,
            "linger_ms",
            100..=600_000,
            defaults.drain_time,
        ),
        trusts_cached_answers: table.read_boolean(
            reader,
            "cached_answers",
            defaults.trusts_cached_answers,
        ),
        max_instances: table.read_integer(
            reader,
            "most_instances",
            1..=20_000,
            defaults.max_instances.into(),
        ) as u32,
        ..defaults
    }
}

fn read_push(reader: &mut ConfigReader, mut table: TableReader, folder: &Path) -> PushConfig {
    let defaults = PushConfig::default();
    let servers = table.read_parsed_strings::<SocketAddr>(
        reader,
        "servers",
        1..=MAX_RESOLVERS,
        RESOLVER_HINT,
    );
    let trust_anchor = table
        .read_string(reader, "trust_anchor")
        .map(|file| folder.join(file));
    let server_name = table.read_string(reader, "server_name").map(String::from);
    let span = table.span_of("servers");
    if trust_anchor.is_none() && servers.iter().any(|server| !server.ip().is_loopback()) {
        reader.report(
            span.clone(),
            "push to a server on another machine requires TLS",
            "set trust_anchor (PEM file) and server_name",
        );
    }
    if trust_anchor.is_some() != server_name.is_some() {
        reader.report(
            span,
            "only one of trust_anchor and server_name is set",
            "set both: the PEM file and the name in the server's certificate",
        );
    }
    if let Some(Err(error)) = trust_anchor.as_deref().map(read_trust_anchor) {
        reader.report(
            table.span_of("trust_anchor"),
            error,
            "name a PEM file with the authority's certificate",
        );
    }
    let config = PushConfig {
        servers,
        check_interval: table.read_milliseconds(
            reader,
            "check_ms",
            100..=60_000,
            defaults.check_interval,
        ),
        keepalive_interval: table.read_milliseconds(
            reader,
            "keepalive_ms",
            100..=3_600_000,
            defaults.keepalive_interval,
        ),
        tls: trust_anchor.zip(server_name),
    };
    table.finish(reader);
    config
}
