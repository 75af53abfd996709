//! Recent service of customers: it decays, and is summed over entries.

use std::time;

use chivebend::decide::recent;
use chivebend::key;
use slotmap::SlotMap;

fn ms(n: u64) -> time::Duration {
    time::Duration::from_millis(n)
}

fn customer() -> key::Customer {
    SlotMap::<key::Customer, ()>::with_key().insert(())
}

#[test]
fn service_decays_to_a_third_in_three_seconds() {
    let mut table = recent::Table::default();
    let customer = customer();
    table.add(ms(0), customer, 900.0);
    let left = table.own_service(ms(3_000), customer);
    assert!((300.0..350.0).contains(&left), "{left}");
}

#[test]
fn a_refund_never_makes_service_negative() {
    let mut table = recent::Table::default();
    let customer = customer();
    table.add(ms(0), customer, 900.0);
    table.add(ms(3_000), customer, -900.0);
    assert!(table.own_service(ms(3_000), customer).abs() < 1e-9);
}

#[test]
fn fleet_service_is_the_sum_of_the_entries_known() {
    let mut table = recent::Table::default();
    let customer = customer();
    table.add(ms(0), customer, 1.0);
    table.merge(ms(0), recent::Source::Entry(5), [(customer, 10.0)]);
    table.merge(ms(0), recent::Source::Entry(6), [(customer, 100.0)]);
    assert!((table.fleet_service(ms(0), customer) - 111.0).abs() < 1e-9);
    table.forget(ms(0), recent::Source::Entry(6));
    assert!((table.fleet_service(ms(0), customer) - 11.0).abs() < 1e-9);
}

#[test]
fn invalid_amounts_are_ignored() {
    let mut table = recent::Table::default();
    let customer = customer();
    for amount in [f64::NAN, f64::INFINITY, -1.0] {
        table.merge(ms(0), recent::Source::Entry(5), [(customer, amount)]);
        assert!(
            table.fleet_service(ms(0), customer).abs() < 1e-9,
            "{amount}"
        );
    }
}

#[test]
fn a_report_replaces_the_amounts_of_its_customers_and_the_sum_decays_with_its_parts() {
    let mut table = recent::Table::default();
    let mut customers = SlotMap::<key::Customer, ()>::with_key();
    let (one, two) = (customers.insert(()), customers.insert(()));
    table.add(ms(0), one, 30.0);
    table.merge(ms(0), recent::Source::Entry(5), [(one, 60.0), (two, 7.0)]);
    table.merge(ms(1_500), recent::Source::Entry(5), [(one, 20.0)]);
    let left = table.own_service(ms(1_500), one);
    assert!((table.fleet_service(ms(1_500), one) - left - 20.0).abs() < 1e-9);
    // The newest report doesn't have this customer, whose amount has decayed at the peer as here.
    let decayed = 7.0 * (-0.5_f64).exp();
    assert!((table.fleet_service(ms(1_500), two) - decayed).abs() < 1e-9);
    table.forget(ms(3_000), recent::Source::Entry(5));
    let left = table.own_service(ms(3_000), one);
    assert!((table.fleet_service(ms(3_000), one) - left).abs() < 1e-9);
    assert!(table.fleet_service(ms(3_000), two).abs() < 1e-9);
}

#[test]
fn a_refund_leaves_service_of_peers_as_it_is() {
    let mut table = recent::Table::default();
    let customer = customer();
    table.add(ms(0), customer, 900.0);
    table.merge(ms(0), recent::Source::Entry(5), [(customer, 50.0)]);
    table.add(ms(3_000), customer, -900.0);
    table.merge(ms(3_000), recent::Source::Entry(5), [(customer, 50.0)]);
    assert!((table.fleet_service(ms(3_000), customer) - 50.0).abs() < 1e-9);
}

#[test]
fn max_served_is_the_greatest_sum_over_all_entries() {
    let mut table = recent::Table::default();
    let mut customers = SlotMap::<key::Customer, ()>::with_key();
    let (one, two) = (customers.insert(()), customers.insert(()));
    assert!(table.max_served(ms(0)).abs() < 1e-9);
    table.add(ms(0), one, 30.0);
    table.merge(ms(0), recent::Source::Entry(5), [(one, 60.0), (two, 70.0)]);
    assert!((table.max_served(ms(0)) - 90.0).abs() < 1e-9);
}

// Guards against large heartbeats: with 300 entries, heartbeats that listed all customers were four
// kilobytes each, half a megabyte per second sent by each entry.
#[test]
fn only_customers_whose_service_has_changed_are_reported() {
    let mut table = recent::Table::default();
    let mut customers = SlotMap::<key::Customer, ()>::with_key();
    let (one, two) = (customers.insert(()), customers.insert(()));
    table.add(ms(0), one, 30.0);
    table.merge(ms(0), recent::Source::Entry(5), [(two, 70.0)]);
    assert_eq!(table.take_changed(recent::Scope::Own), [one]);
    assert!(table.take_changed(recent::Scope::Own).is_empty());
    table.add(ms(10), two, 5.0);
    table.add(ms(20), one, -10.0);
    assert_eq!(table.take_changed(recent::Scope::Own), [one, two]);
}
