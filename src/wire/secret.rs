//! Authentication of gRPC calls between the fleet's processes by a shared secret.

use crate::{code, settings};

const METADATA_KEY: &str = "chivebend-secret";

/// Adds the secret to the metadata of a request.
pub fn attach<T>(secret: &settings::Secret, request: &mut tonic::Request<T>) {
    if let Ok(value) = secret.outgoing().parse() {
        request.metadata_mut().insert(METADATA_KEY, value);
    }
}

/// Rejects a request that carries no accepted secret.
///
/// # Errors
///
/// `PERMISSION_DENIED` with the code `bad_secret`.
pub fn check<T>(
    secret: &settings::Secret,
    request: &tonic::Request<T>,
) -> Result<(), tonic::Status> {
    let received = request
        .metadata()
        .get(METADATA_KEY)
        .and_then(|value| value.to_str().ok());
    if secret.accepts(received.unwrap_or_default()) {
        return Ok(());
    }
    Err(tonic::Status::permission_denied(
        code::Code::BadSecret.to_string(),
    ))
}
