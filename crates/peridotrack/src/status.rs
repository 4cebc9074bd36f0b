//! `status`: shows routers, their peers and configuration versions.

use std::net::SocketAddr;

use serde_json::Value;

use crate::{
    arguments::Routers,
    fleet::{self, Error, Fleet, Response, Status},
    report::{Failure, Report},
};

/// Shows the status of each router, or the error of one that could not be queried.
///
/// # Errors
///
/// Returns a failure if the operators' key cannot be read.
pub async fn status(routers: &Routers) -> Result<Report, Failure> {
    let fleet = Fleet::open(routers)?;
    let responses = fleet.get_all::<Value>("/v1/status").await;
    let text: String = responses
        .iter()
        .map(|(router, response)| status_line(*router, response))
        .collect();
    let exit = fleet::worst_exit(&responses);
    let routers: Vec<Value> = responses
        .into_iter()
        .map(|(router, response)| match response {
            Ok(response) => serde_json::json!({ "router": router, "status": response.value }),
            Err(error) => serde_json::json!({ "router": router, "error": error.to_string() }),
        })
        .collect();
    let json = serde_json::json!({ "routers": routers });
    Ok(Report::done(text, json).exit(exit))
}

/// Formats one router's status; a status of unknown shape is printed as JSON.
fn status_line(router: SocketAddr, response: &Result<Response<Value>, Error>) -> String {
    let value = match response {
        Ok(response) => &response.value,
        Err(error) => return format!("{router}: {error}\n"),
    };
    let Ok(status) = serde_json::from_value::<Status>(value.clone()) else {
        return format!("{router}: {value}\n");
    };
    let count_live = |list: &str| {
        let elements = value[list].as_array().map_or(&[][..], Vec::as_slice);
        let live = elements
            .iter()
            .filter(|element| element["is_live"] != false);
        (live.count(), elements.len())
    };
    let (live_peers, peers) = count_live("peers");
    let platform = match value["is_platform_reachable"].as_bool() {
        Some(true) => ", platform reached",
        Some(false) => ", platform lost",
        None => "",
    };
    let Status {
        vm,
        incarnation,
        failure_domain,
        state,
        config_version,
    } = status;
    format!(
        "{router}: {vm} {incarnation} in {failure_domain}, {state}, config {config_version}, \
         {live_peers} of {peers} peers live{platform}\n"
    )
}
