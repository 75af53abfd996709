//! Finds the customer by the API key.

use crate::code;
use crate::filter::{Ask, Context, Refusal};

const HEADER: &str = "authorization";

/// Sets customer, weight and limits; the key goes no further than here.
pub fn filter(context: &Context, ask: &mut Ask) -> Result<(), Refusal> {
    let catalogue = &context.accepted.catalogue;
    let customer = ask
        .header(HEADER)
        .and_then(|value| value.strip_prefix("Bearer "))
        .and_then(|key| catalogue.customer_by_key(key.trim()))
        .ok_or_else(|| Refusal::new(code::Code::Unauthorised, "no customer has this API key"))?;
    ask.customer.clone_from(&customer.name);
    ask.limits = customer.limits;
    let class = catalogue.class(customer);
    ask.weight = class.map_or(1.0, |class| class.weight);
    ask.deadline = class
        .and_then(|class| class.deadline_ms)
        .map(std::time::Duration::from_millis);
    ask.remove_header(HEADER);
    Ok(())
}
