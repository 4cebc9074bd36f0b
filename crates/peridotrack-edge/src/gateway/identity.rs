//! Connections on which a stream goes on: they lead to the process that the directory names.
//!
//! A backend server may start again under its name and at its address as another software version
//! before its entry says so. A router whose directory lags, and none of whose connections broke, asks
//! the process itself, on the connection that the request is sent on.

use std::time::Duration;

use http::StatusCode;
use peridotrack_http::client;
use peridotrack_platform::report;

use super::{attempt::Attempt, liveness, options};

/// Connects to the backend server of an attempt that continues a stream. Returns `None` if another
/// process listens at the address, which is then reported as the end of the former.
///
/// # Errors
///
/// Returns an error of the step `Connect`, as nothing of the request was sent.
pub(super) async fn connect(
    attempt: &Attempt<'_>,
) -> Result<Option<client::Connection>, client::Error> {
    let address = attempt.target.address;
    let mut connection = client::Connection::connect(address, options::backend()).await?;
    let Some(born_ms) = attempt.server.born_ms else {
        return Ok(Some(connection));
    };
    let limit = Duration::from_micros(options::REPORT_TIMEOUT_US);
    let asked = monoio::time::timeout(limit, states_other_start(&mut connection, born_ms)).await;
    let unsent = |kind| client::Error {
        step: client::Step::Connect,
        peer: address,
        bytes_written: false,
        kind,
    };
    let is_other = asked
        .map_err(|_| unsent(client::Kind::TimedOut))?
        .map_err(|error| unsent(error.kind))?;
    if is_other {
        liveness::report_end(attempt.shared, attempt.server);
        return Ok(None);
    }
    // Servers now and then close a connection after a response.
    match connection.is_reusable() {
        true => Ok(Some(connection)),
        false => client::Connection::connect(address, options::backend())
            .await
            .map(Some),
    }
}

/// Asks the process for its report, and returns whether that states another start. A process that
/// states none is believed to be the one that the directory names.
async fn states_other_start(
    connection: &mut client::Connection,
    born_ms: u64,
) -> Result<bool, client::Error> {
    let head = connection.send(report::request()).await?;
    let body = connection.read_body().await?;
    let stated_ms = (head.status == StatusCode::OK).then(|| report::born_ms(&body));
    let stated_ms = stated_ms.flatten();
    Ok(stated_ms.is_some_and(|stated_ms| stated_ms != born_ms))
}
