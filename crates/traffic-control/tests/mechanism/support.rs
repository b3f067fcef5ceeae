//! Settings that several tests start from.

use frosthatch_traffic_control::Settings;

/// Settings of one of several gateways that share a counter.
pub fn settings_with_counter(gateways: u32) -> Settings {
    Settings {
        gateways,
        has_counter: true,
        ..Settings::example()
    }
}

pub fn settings_with_permits(gateways: u32, most: u32) -> Settings {
    let mut settings = settings_with_counter(gateways);
    settings.plans[0].rate = 0.0;
    settings.plans[0].burst = 0.0;
    settings.plans[0].max_open = most;
    settings
}
