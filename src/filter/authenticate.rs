//! Authenticates the customer by the API key in the `Authorization` header.

use crate::code;
use crate::filter::{Context, Refusal, Request};

const HEADER: &str = "authorization";

/// Sets the customer, its weight, its limits and its class's default deadline.
///
/// Removes the header, so that the API key is never forwarded to the backend server.
pub fn filter(context: &Context, request: &mut Request) -> Result<(), Refusal> {
    let catalogue = &context.accepted.catalogue;
    let customer = request
        .header(HEADER)
        .and_then(|value| value.strip_prefix("Bearer "))
        .and_then(|key| catalogue.customer_by_key(key.trim()))
        .ok_or_else(|| Refusal::new(code::Code::Unauthorised, "no customer has this API key"))?;
    request.customer.clone_from(&customer.name);
    request.limits = customer.limits;
    let class = catalogue.class(customer);
    request.weight = class.map_or(1.0, |class| class.weight);
    request.deadline = class
        .and_then(|class| class.deadline_ms)
        .map(std::time::Duration::from_millis);
    request.remove_header(HEADER);
    Ok(())
}
