//! Looks up the route, and with it the service, by model or path.

use crate::filter::{Context, Refusal, Request};

/// Sets the service, the route's default for `idempotent`, and the weight of the route.
pub fn filter(context: &Context, request: &mut Request) -> Result<(), Refusal> {
    let model = (!request.model.is_empty()).then_some(request.model.as_str());
    let route = context
        .accepted
        .catalogue
        .route(&request.method, &request.path, model)
        .map_err(|code| Refusal::new(code, "no route"))?;
    request.service.clone_from(&route.service.name);
    request.idempotent = route.idempotent;
    request.route_weight = route.weight;
    Ok(())
}
