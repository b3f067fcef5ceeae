//! Handles the capabilities exchange with a peer (RFC 6733 section 5.3).

use super::{CloseReason, Output, Peer, RemoteIdentity};
use crate::codec::{Avp, Fault, Message};
use crate::dictionary::{application, code, result};
use std::net::IpAddr;

// Address families in AVPs with the data format Address (RFC 6733 section 4.3.1).
const FAMILY_IPV4: u8 = 1;
const FAMILY_IPV6: u8 = 2;

impl Peer {
    /// Adds the gateway's capabilities to a CER or CEA.
    pub(super) fn with_capabilities(&self, message: Message) -> Message {
        message
            .with_avp(Avp::new(
                code::HOST_IP_ADDRESS,
                address_data(self.identity.address),
            ))
            .with_avp(Avp::of_u32(code::VENDOR_ID, 0))
            .with_avp(Avp::of_text(code::PRODUCT_NAME, "frosthatch").optional())
            .with_avp(self.origin_state_id())
            .with_avp(Avp::of_u32(
                code::AUTH_APPLICATION_ID,
                application::CREDIT_CONTROL,
            ))
    }

    /// Handles a Capabilities-Exchange-Request.
    pub(super) fn handle_cer(&mut self, now_us: u64, cer: &Message, out: &mut Vec<Output>) {
        let remote = match read_remote_identity(cer) {
            Ok(remote) => remote,
            Err(fault) => {
                out.push(Output::Send(self.fault_answer(cer, &fault)));
                return self.close(CloseReason::InvalidCapabilities, out);
            }
        };
        if !has_common_application(&cer.avps) {
            let cea = self.answer(cer, result::NO_COMMON_APPLICATION);
            out.push(Output::Send(cea));
            return self.close(CloseReason::NoCommonApplication, out);
        }
        let cea = self.answer(cer, result::SUCCESS);
        out.push(Output::Send(self.with_capabilities(cea)));
        self.open(now_us, remote, out);
    }

    /// Handles a Capabilities-Exchange-Answer.
    pub(super) fn handle_cea(&mut self, now_us: u64, cea: &Message, out: &mut Vec<Output>) {
        let result_code = cea.result_code().unwrap_or(0);
        if result_code != result::SUCCESS {
            return self.close(CloseReason::CapabilitiesRejected { result_code }, out);
        }
        match read_remote_identity(cea) {
            Ok(remote) if has_common_application(&cea.avps) => self.open(now_us, remote, out),
            Ok(_) => self.close(CloseReason::NoCommonApplication, out),
            Err(_) => self.close(CloseReason::InvalidCapabilities, out),
        }
    }
}

/// Encodes an address in the data format Address.
fn address_data(address: IpAddr) -> Vec<u8> {
    let family = if address.is_ipv4() {
        FAMILY_IPV4
    } else {
        FAMILY_IPV6
    };
    let mut data = vec![0, family];
    match address {
        IpAddr::V4(address) => data.extend(address.octets()),
        IpAddr::V6(address) => data.extend(address.octets()),
    }
    data
}

/// Validates a CER or CEA and returns the identity of its sender.
fn read_remote_identity(message: &Message) -> Result<RemoteIdentity, Fault> {
    message.validate()?;
    Ok(RemoteIdentity {
        host: read_identity(message, code::ORIGIN_HOST)?,
        realm: read_identity(message, code::ORIGIN_REALM)?,
        state_id: message.u32_value(code::ORIGIN_STATE_ID),
    })
}

/// Returns the text of a required DiameterIdentity AVP in lower case.
fn read_identity(message: &Message, code: u32) -> Result<String, Fault> {
    let avp = message.find(code).ok_or_else(|| Fault::missing_avp(code))?;
    let text = avp.text()?;
    if text.is_empty() {
        return Err(Fault::in_avp(result::INVALID_AVP_VALUE, avp));
    }
    Ok(text.to_ascii_lowercase())
}

/// Returns whether credit control is among the advertised applications. A relay advertises all applications.
fn has_common_application(avps: &[Avp]) -> bool {
    avps.iter().any(|avp| match (avp.code, avp.vendor) {
        (code::AUTH_APPLICATION_ID, None) => is_credit_control(avp),
        (code::VENDOR_SPECIFIC_APPLICATION_ID, None) => avp.group().is_ok_and(|members| {
            members
                .iter()
                .any(|member| member.code == code::AUTH_APPLICATION_ID && is_credit_control(member))
        }),
        _ => false,
    })
}

/// Returns whether an Auth-Application-Id covers credit control.
fn is_credit_control(application_id: &Avp) -> bool {
    matches!(
        application_id.u32(),
        Ok(application::CREDIT_CONTROL | application::RELAY)
    )
}
