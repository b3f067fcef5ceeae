//! Tests of the forms in which clients write a customer's number.

use frosthatch_traffic_control::{CustomerId, CustomerNumber};
use proptest::prelude::{any, prop_assert, prop_assert_eq, proptest};

/// Exclusive upper bound of customers' numbers.
const END: u64 = 1 << 33;

proptest! {
    /// Guards against one customer with several quotas: letters of either case, in any mixture, and decimal digits with or
    /// without leading zeros.
    #[test]
    fn all_forms_of_a_number_are_one_customer(number in 0..END, capitals in any::<u16>()) {
        let expected = CustomerNumber::new(number).expect("the number is in range");
        let id = CustomerId::from(expected);
        prop_assert_eq!(&*id.0, format!("{number:016x}"));
        let mixed_case: String = id
            .0
            .char_indices()
            .map(|(i, digit)| if capitals >> i & 1 == 1 { digit.to_ascii_uppercase() } else { digit })
            .collect();
        prop_assert_eq!(CustomerNumber::from_hex(&mixed_case), Some(expected));
        for decimal in [number.to_string(), format!("{number:012}")] {
            prop_assert_eq!(CustomerNumber::from_decimal(&decimal), Some(expected));
        }
    }

    /// Guards against a text that reaches the decisions without being a number.
    #[test]
    fn other_texts_are_no_customers(text in ".{0,20}") {
        let is_digits = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
        let decimal = text.parse::<u64>().ok().filter(|number| is_digits && *number < END);
        prop_assert_eq!(CustomerNumber::from_decimal(&text).map(CustomerNumber::get), decimal);
        if text.len() != 16 {
            prop_assert!(CustomerNumber::from_hex(&text).is_none());
        }
    }
}

#[test]
fn numbers_out_of_range_are_no_customers() {
    assert_eq!(CustomerNumber::new(END), None);
    assert_eq!(CustomerNumber::from_hex("0000000200000000"), None);
    assert_eq!(CustomerNumber::from_hex("+000000000000001"), None);
    assert_eq!(CustomerNumber::from_decimal("8589934592"), None);
    assert_eq!(CustomerNumber::from_decimal("+1"), None);
    assert_eq!(CustomerNumber::from_decimal(""), None);
}
