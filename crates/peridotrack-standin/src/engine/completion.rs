//! Builds the response of a request that is not streamed.

use bytes::Bytes;
use http::Response;
use peridotrack_http::server::Connection;

use crate::{
    endpoint::Disconnect,
    engine::{
        chat::{Choice, Completion, Message},
        run::{Run, State},
        stream::Faults,
    },
    response,
};

/// Waits for the end of a run and returns its completion.
///
/// Fails with [`Disconnect`] if the run does not finish, or if the fault cuts the response.
pub(crate) async fn respond(
    run: &Run,
    faults: Faults,
    connection: &mut Connection,
) -> Result<Response<Bytes>, Disconnect> {
    monoio::select! {
        () = run.ended() => {}
        () = connection.closed() => return Err(Disconnect),
    }
    if run.state() != State::Finished || faults.cut_after_tokens.is_some() {
        return Err(Disconnect);
    }
    let tokens = if faults.truncate {
        run.total_tokens / 2
    } else {
        run.total_tokens
    };
    let message = Message {
        role: "assistant".to_owned(),
        content: (0..tokens).map(|index| run.token(index)).collect(),
    };
    let choice = Choice {
        index: 0,
        message,
        finish_reason: (!faults.truncate).then(|| run.finish_reason.to_owned()),
    };
    let builder = Response::builder().header(response::REQUEST_ID, &run.request_id);
    let completion = Completion {
        id: run.completion_id(),
        object: "chat.completion".to_owned(),
        created: 0,
        model: run.model.clone(),
        choices: vec![choice],
        usage: (!faults.omit_usage && !faults.truncate).then(|| run.usage()),
    };
    Ok(response::json_with(builder, &completion))
}
