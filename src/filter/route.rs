//! Finds the service by model or path.

use crate::filter::{Ask, Context, Refusal};

/// Sets service, whether the request is idempotent, and the weight of its route.
pub fn filter(context: &Context, ask: &mut Ask) -> Result<(), Refusal> {
    let model = (!ask.model.is_empty()).then_some(ask.model.as_str());
    let route = context
        .accepted
        .catalogue
        .route(&ask.method, &ask.path, model)
        .map_err(|code| Refusal::new(code, "no route"))?;
    ask.service.clone_from(&route.service.name);
    ask.idempotent = route.idempotent;
    ask.route_weight = route.weight;
    Ok(())
}
