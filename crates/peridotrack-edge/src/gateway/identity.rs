//! Connections on which a stream goes on: they lead to the process that the directory names.
//!
//! A backend server may start again under its name and at its address as another software version
//! before its entry says so. A router whose directory lags, and none of whose connections broke, asks
//! the process itself, on the connection that the request is sent on.

use std::time::Duration;

use http::StatusCode;
use peridotrack_http::client;
use peridotrack_platform::report;

use super::{attempt::Attempt, liveness, options, reach};

/// What is known of the process that a new connection leads to.
pub(super) enum Identified {
    /// It is the one that the directory names, or states nothing else.
    Listed(Box<client::Connection>),
    /// It is another one; the end of the former is reported.
    Other,
    /// It did not answer in time, or not properly; the reason is for the log.
    Unknown(String),
}

/// Connects to the backend server of an attempt that continues a stream.
///
/// # Errors
///
/// Returns an error if the connection cannot be established.
pub(super) async fn connect(attempt: &Attempt<'_>) -> Result<Identified, client::Error> {
    let (server, address) = (&attempt.target.backend_server, attempt.target.address);
    let mut connection = reach::connect(attempt.shared, server, address).await?;
    let Some(born_ms) = attempt.server.born_ms else {
        return Ok(Identified::Listed(Box::new(connection)));
    };
    let limit = Duration::from_micros(options::REPORT_TIMEOUT_US);
    let asked = monoio::time::timeout(limit, states_other_start(&mut connection, born_ms)).await;
    match asked {
        Ok(Ok(true)) => {
            liveness::report_end(attempt.shared, attempt.server);
            return Ok(Identified::Other);
        }
        Ok(Ok(false)) => {}
        Ok(Err(error)) => return Ok(Identified::Unknown(error.to_string())),
        Err(_) => {
            let detail = "the server did not state in time when it started";
            return Ok(Identified::Unknown(detail.to_owned()));
        }
    }
    // Servers now and then close a connection after a response.
    if !connection.is_reusable() {
        connection = reach::connect(attempt.shared, server, address).await?;
    }
    Ok(Identified::Listed(Box::new(connection)))
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
