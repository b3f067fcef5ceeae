//! Settings that several tests use.

use frosthatch_traffic_control::Settings;

/// Returns the settings of the first of `gateways` gateways that share a counter.
pub fn settings_with_counter(gateways: u32) -> Settings {
    Settings {
        gateways,
        has_counter: true,
        ..Settings::example()
    }
}

/// Returns these settings with a limit on attempts in flight in place of the quota.
pub fn settings_with_permits(gateways: u32, max_open: u32) -> Settings {
    let mut settings = settings_with_counter(gateways);
    settings.plans[0].rate = 0.0;
    settings.plans[0].burst = 0.0;
    settings.plans[0].max_open = max_open;
    settings
}
