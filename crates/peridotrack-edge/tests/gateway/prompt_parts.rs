//! Backend servers that crash under one prompt part: a fleet of gateways must stop sending it.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener},
    rc::Rc,
    thread,
    time::Duration,
};

use peridotrack_standin::{
    harness::{http::block_on, wait},
    hosted::deployment,
};

use serde_json::json;

use crate::{
    fixture::{Fixture, LIMIT, request},
    fleet::{FATAL_PART, Fatal, Fleet, Options, PREPAID_TOKENS, Return},
};

/// Part that all prompts begin with.
const FIRST_PART: u64 = 0xf1;
/// Number of crashes after which the time to stop is counted.
const COUNTED_CRASHES: usize = 5;
/// Requests with the part that may reach servers late.
const MAX_LATE_REQUESTS: usize = 3;

/// Guards against a fleet that sends a prompt part under which servers crash to one after another.
#[test]
fn servers_crash_one_after_another_under_one_prompt_part() {
    block_on(async {
        let fleet = Fleet::spawn(6, 9).await;
        monoio::spawn(Rc::clone(&fleet).run_servers());
        let sound = Rc::clone(&fleet);
        let sound = monoio::spawn(async move {
            let interval = Duration::from_millis(25);
            let parts = [FIRST_PART, 0x50];
            let early = sound
                .send_for(Duration::from_secs(9), interval, &parts)
                .await;
            let late = sound
                .send_for(Duration::from_secs(3), interval, &parts)
                .await;
            (early, late)
        });
        monoio::time::sleep(Duration::from_secs(1)).await;
        let interval = Duration::from_millis(220);
        let parts = [FIRST_PART, FATAL_PART];
        fleet
            .send_for(Duration::from_secs(11), interval, &parts)
            .await;
        let (_, served) = sound.await;
        let (late, crashes) = (
            fleet.late_arrivals(COUNTED_CRASHES),
            fleet.crashes.borrow().len(),
        );
        println!("{crashes} crashes, {late} late requests, {served:.2} of the others served");
        assert!(crashes >= COUNTED_CRASHES - 2, "{crashes}");
        assert!(late <= MAX_LATE_REQUESTS, "{late} of {crashes} crashes");
        assert!(served > 0.9, "{served}");
    });
}

/// Guards against a service that is refused for good after its servers ended one after the other for
/// another reason: all requests share a part, and none was sent that could clear it.
#[test]
fn a_service_is_served_again_after_its_servers_ended_one_after_another() {
    block_on(async {
        let fleet = Fleet::spawn_with(Options {
            gateways: 4,
            servers: 6,
            config: deployment::config(1, PREPAID_TOKENS),
            fatal: Fatal::Nothing,
            returns: Return::NewAddress,
            run_time: Duration::from_secs(1),
        })
        .await;
        let requests = Rc::clone(&fleet);
        let requests = monoio::spawn(async move {
            let interval = Duration::from_millis(25);
            let before = Duration::from_secs(16);
            requests.send_for(before, interval, &[FIRST_PART]).await;
            let settled = Duration::from_secs(3);
            requests.send_for(settled, interval, &[FIRST_PART]).await
        });
        // All servers end before the first response.
        for number in 0..6 {
            monoio::time::sleep(Duration::from_millis(140)).await;
            fleet.crash(number);
        }
        let served = requests.await;
        assert!(served > 0.9, "{served}");
    });
}

/// Starts a server that closes the connection of its first request after the head of the response,
/// and its listener some time later.
fn spawn_ending_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let _ = stream.read(&mut [0; 4_096]).unwrap();
        let head = "HTTP/1.1 200 OK\r\nperidotrack-request-id: 9c41\r\n\
                    peridotrack-response-seal: 3e1b\r\ncontent-type: text/event-stream\r\n\
                    transfer-encoding: chunked\r\n\r\n";
        stream.write_all(head.as_bytes()).unwrap();
        drop(stream);
        thread::sleep(Duration::from_millis(60));
    });
    address
}

/// Guards against a crash that goes unnoticed because the listener outlives the connections for a
/// moment, or a relay in between accepts one more.
#[test]
fn a_server_that_still_accepts_connections_as_it_ends_counts_as_ended() {
    block_on(async {
        let fixture = Fixture::spawn(0).await;
        let prompt = [("peridotrack-prompt-prefix", "f1:10,bad:10,1:10")];
        for number in 0..3 {
            let entry = deployment::entry(spawn_ending_server(), "a", "ready");
            fixture.store.put("servers", &format!("i-{number}"), entry);
            let is_sent = async || {
                let response = fixture.send(request("/stream/x", &prompt)).await?;
                (response.status() == 502).then_some(())
            };
            wait::poll(LIMIT, "the crash", is_sent).await.unwrap();
            monoio::time::sleep(Duration::from_millis(200)).await;
        }
        let is_blocked = async || {
            let response = fixture.send(request("/stream/x", &prompt)).await?;
            let body = std::str::from_utf8(response.body()).unwrap();
            body.contains("prompt-part-blocked").then_some(())
        };
        wait::poll(LIMIT, "the block", is_blocked).await.unwrap();
    });
}

/// Guards against a write that is repeated forever: the object was created by a delayed write of an
/// earlier incarnation, and the refusal of the new one does not contain it.
#[test]
fn a_statement_is_written_although_the_object_appeared_after_the_list() {
    block_on(async {
        let fixture = Fixture::spawn(0).await;
        let stored = json!({"sequence": 1, "crashes": [], "clearances": []});
        fixture.store.put("quarantine", "vm-1", stored.clone());
        let entry = deployment::entry(spawn_ending_server(), "a", "ready");
        fixture.store.put("servers", "i-0", entry);
        let prompt = [("peridotrack-prompt-prefix", "f1:10,bad:10,1:10")];
        let is_sent = async || {
            let response = fixture.send(request("/stream/x", &prompt)).await?;
            (response.status() == 502).then_some(())
        };
        wait::poll(LIMIT, "the crash", is_sent).await.unwrap();
        let is_written = || fixture.store.get("quarantine", "vm-1") != Some(stored.clone());
        wait::until(LIMIT, "the written statement", is_written)
            .await
            .unwrap();
    });
}
