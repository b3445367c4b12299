//! Guards against a route's priority that outranks its caller's account.

use types::Priority;

#[test]
fn order_account_before_route() {
    let of = |account, route| Priority::new(route).with_account(account);
    assert!(of(0, 9) < of(1, 0));
    assert!(of(1, 0) < of(1, 1));
    assert_eq!(of(0, 3), Priority::new(3));
}
