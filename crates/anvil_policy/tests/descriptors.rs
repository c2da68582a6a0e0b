//! A process that may open few descriptors.

use anvil_policy::descriptors::{DescriptorPlan, DescriptorsInUse};

fn used(clients: u32, endpoints: u32) -> DescriptorsInUse {
    DescriptorsInUse { clients, endpoints }
}

/// Load pattern: clients connect until none is accepted any more. Guards against using descriptors that
/// the ledger and endpoints need.
#[test]
fn clients_leave_descriptors_for_the_rest() {
    let plan = DescriptorPlan::new(464);
    let mut clients = 0;
    while plan.has_room_for_client(used(clients, 0)) {
        clients += 1;
    }
    assert_eq!(clients, 300);
    let mut endpoints = 0;
    while plan.has_room_for_endpoint(used(clients, endpoints)) {
        endpoints += 1;
    }
    assert_eq!(endpoints, 100);
}

/// Guards against clients being rejected while connections are open that nobody uses.
#[test]
fn idle_connections_go_first() {
    let plan = DescriptorPlan::new(464);
    assert_eq!(plan.idle_to_close(used(200, 100)), 0);
    // Of 400, 25 are to be free.
    let busy = used(200, 190);
    assert!(plan.has_room_for_client(busy));
    assert_eq!(plan.idle_to_close(busy), 15);
}

/// Guards against a limit below the reserve, with which nothing could be served.
#[test]
fn tiny_limit_serves_one_at_a_time() {
    let plan = DescriptorPlan::new(10);
    assert!(plan.has_room_for_client(used(0, 0)));
    assert!(!plan.has_room_for_client(used(1, 0)));
    assert!(plan.has_room_for_endpoint(used(1, 0)));
}
