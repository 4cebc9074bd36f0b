//! Requests under which backend servers crash: a fleet of gateways must stop sending them, and go on
//! serving all others.

use std::{
    cell::Cell,
    rc::Rc,
    time::{Duration, Instant},
};

use http::Method;
use peridotrack_standin::{
    harness::http::block_on,
    hosted::{backend::Content, deployment},
};
use serde_json::{Value, json};

use crate::fleet::{Answer, Fatal, Fleet, Options, PREPAID_TOKENS, Return};

/// Number of crashes after which the time to stop is counted.
const COUNTED_CRASHES: usize = 3;
/// Requests that may reach servers late.
const MAX_LATE_REQUESTS: usize = 3;
/// Interval between two fatal requests.
const FATAL_INTERVAL: Duration = Duration::from_millis(250);
/// Interval between two requests that no server crashes under.
const SOUND_INTERVAL: Duration = Duration::from_millis(25);
/// Interval between two requests where many of them are in flight: more are sent than the retries of
/// those that a crash breaks require.
const DENSE_INTERVAL: Duration = Duration::from_millis(10);
/// Time in which requests reach their servers.
const SEND_TIME: Duration = Duration::from_millis(100);
/// Time within which a blocked request is answered.
const REFUSAL_TIME: Duration = Duration::from_millis(250);
/// Time in which fatal requests are sent.
const FATAL_TIME: Duration = Duration::from_secs(11);
/// Time at the end of the test in which sound requests must be served.
const LAST_TIME: Duration = Duration::from_secs(3);
/// Time after the last crash in which all servers return and their old entries disappear.
const RETURN_TIME: Duration = Duration::from_millis(4_500);
/// Time within which servers crash until the request is blocked and the block is rechecked.
const MAX_BLOCK_TIME: Duration = Duration::from_secs(20);
/// Number of identical requests sent together.
const REPEATED: usize = 24;
/// Prompt part that model requests begin with.
const FIRST_PART: u64 = 0xf1;

/// Returns a configuration in which all routes lead to a service without models.
fn plain_config() -> Value {
    let mut config = deployment::config(1, PREPAID_TOKENS);
    config["services"] = json!([{"name": "lm", "maxConnections": 500}]);
    config
}

fn get(target: &str) -> Content {
    Content {
        method: Method::GET,
        target: target.to_owned(),
        body: "".into(),
        account: "t-1".to_owned(),
    }
}

fn post(target: &str, body: &str) -> Content {
    Content {
        method: Method::POST,
        body: body.to_owned().into(),
        ..get(target)
    }
}

/// A plain service whose servers crash under a request.
fn plain(servers: usize, fatal: Content, returns: Return) -> Options {
    Options {
        gateways: 6,
        servers,
        config: plain_config(),
        fatal: Fatal::Request(fatal),
        returns,
        run_time: Duration::ZERO,
    }
}

/// Sends requests at a steady rate for a time.
async fn send_for(
    fleet: &Rc<Fleet>,
    duration: Duration,
    interval: Duration,
    next: impl FnMut(u64) -> (Content, Vec<u64>),
) -> Vec<Answer> {
    let end = Instant::now() + duration;
    send_while(fleet, || Instant::now() < end, interval, next).await
}

/// Sends requests at a steady rate while a condition holds.
async fn send_while(
    fleet: &Rc<Fleet>,
    condition: impl Fn() -> bool,
    interval: Duration,
    mut next: impl FnMut(u64) -> (Content, Vec<u64>),
) -> Vec<Answer> {
    let mut requests = Vec::new();
    while condition() {
        let (content, parts) = next(requests.len() as u64);
        let fleet = Rc::clone(fleet);
        requests.push(monoio::spawn(async move {
            fleet.request(&content, &parts).await
        }));
        monoio::time::sleep(interval).await;
    }
    let mut answers = Vec::new();
    for request in requests {
        answers.push(request.await);
    }
    answers
}

/// Returns the share of requests with complete responses of a server.
fn served(answers: &[Answer]) -> f64 {
    let served = answers.iter().filter(|answer| answer.status() == 200);
    served.count() as f64 / answers.len() as f64
}

/// Sends the fatal request repeatedly and sound ones beside it, and checks which reach servers and
/// how they are answered.
async fn check_containment(
    options: Options,
    fatal: (Content, Vec<u64>),
    sound: fn(u64) -> (Content, Vec<u64>),
) {
    let fleet = Fleet::spawn_with(options).await;
    monoio::spawn(Rc::clone(&fleet).run_servers());
    let beside = Rc::clone(&fleet);
    let beside = monoio::spawn(async move {
        let duration = FATAL_TIME + Duration::from_secs(1);
        send_for(&beside, duration, SOUND_INTERVAL, sound).await
    });
    monoio::time::sleep(Duration::from_secs(1)).await;
    let repeat = |_| fatal.clone();
    let answers = send_for(&fleet, FATAL_TIME, FATAL_INTERVAL, repeat).await;
    let end = Instant::now();
    let is_last = |answer: &Answer| answer.sent + LAST_TIME > end;
    let mut beside = beside.await;
    let last = beside.split_off(beside.partition_point(|answer| !is_last(answer)));
    let (before, after) = (served(&beside), served(&last));
    let late = fleet.late_arrivals(COUNTED_CRASHES);
    let crashes = fleet.crashes.borrow().len();
    let (ran, held): (Vec<_>, Vec<_>) = answers
        .into_iter()
        .partition(|answer| fleet.has_run(&answer.id));
    let promised = ran
        .iter()
        .filter(|answer| matches!(answer.status(), 408 | 421 | 429 | 503));
    let promised: Vec<_> = promised.collect();
    let unlike_refusals = held.iter().filter(|answer| {
        is_last(answer) && !(answer.is_refusal() && answer.elapsed < REFUSAL_TIME)
    });
    let unlike_refusals: Vec<_> = unlike_refusals.collect();
    println!(
        "{crashes} crashes, {late} late requests, {} that ran answered as if not, {} of {} held \
         not answered at once, {before:.2} of the others served, {after:.2} at the end",
        promised.len(),
        unlike_refusals.len(),
        held.len()
    );
    assert!(crashes >= COUNTED_CRASHES - 1, "{crashes}");
    assert!(
        late <= MAX_LATE_REQUESTS,
        "{late} late, {crashes} crashes, {after:.2} of the others served at the end"
    );
    assert!(promised.is_empty(), "{promised:?}");
    assert!(unlike_refusals.is_empty(), "{unlike_refusals:?}");
    assert!(after > 0.9, "{after}");
}

fn sound_get(number: u64) -> (Content, Vec<u64>) {
    (get(&format!("/safe/sound?n={number}")), Vec::new())
}

/// Guards against a fleet that sends a request under which servers crash to one after another.
#[test]
fn servers_crash_one_after_another_under_one_get() {
    let fatal = get("/safe/fatal?q=1");
    let options = plain(4, fatal.clone(), Return::NewName);
    block_on(check_containment(options, (fatal, Vec::new()), sound_get));
}

/// The same for a request that may run only once.
#[test]
fn servers_crash_one_after_another_under_one_post() {
    let fatal = post("/unsafe/fatal", "fatal body");
    let options = plain(4, fatal.clone(), Return::NewName);
    block_on(check_containment(options, (fatal, Vec::new()), sound_get));
}

/// The same for a model request, whose prompt begins like that of all others.
#[test]
fn servers_crash_before_the_head_under_one_streamed_request() {
    let fatal = post("/stream/", "fatal body");
    let options = Options {
        config: deployment::config(1, PREPAID_TOKENS),
        ..plain(6, fatal.clone(), Return::NewName)
    };
    let sound = |number| {
        let content = post("/stream/", &format!("body {number}"));
        (content, vec![FIRST_PART, 0x1_0000 + number])
    };
    block_on(check_containment(
        options,
        (fatal, vec![FIRST_PART, 0xbad]),
        sound,
    ));
}

/// Guards against crashes that count as one because the server starts again under its name.
#[test]
fn servers_that_keep_their_name_crash_again_and_again() {
    let fatal = get("/safe/fatal?q=1");
    let options = plain(4, fatal.clone(), Return::SameName);
    block_on(check_containment(options, (fatal, Vec::new()), sound_get));
}

/// Guards against a service that stays down because a request crashes both of its servers.
#[test]
fn a_request_keeps_both_servers_of_a_service_down() {
    let fatal = get("/safe/fatal?q=1");
    let options = plain(2, fatal.clone(), Return::NewName);
    block_on(check_containment(options, (fatal, Vec::new()), sound_get));
}

/// Sends requests together; returns the answers.
async fn send_together(fleet: &Rc<Fleet>, contents: impl Iterator<Item = Content>) -> Vec<Answer> {
    let requests: Vec<_> = contents
        .map(|content| {
            let fleet = Rc::clone(fleet);
            monoio::spawn(async move { fleet.request(&content, &[]).await })
        })
        .collect();
    let mut answers = Vec::new();
    for request in requests {
        answers.push(request.await);
    }
    answers
}

/// Guards against the refusal of requests that were in flight at servers that crashed under another
/// one, and against the loss of their retry.
#[test]
fn bystanders_of_crashes_are_refused() {
    let fatal = post("/unsafe/fatal", "fatal body");
    let options = Options {
        run_time: Duration::from_millis(300),
        ..plain(4, fatal.clone(), Return::NewName)
    };
    block_on(async {
        let fleet = Fleet::spawn_with(options).await;
        monoio::spawn(Rc::clone(&fleet).run_servers());
        let (beside, is_running) = (Rc::clone(&fleet), Rc::new(Cell::new(true)));
        let condition = Rc::clone(&is_running);
        let beside = monoio::spawn(async move {
            send_while(&beside, || condition.get(), DENSE_INTERVAL, sound_get).await
        });
        monoio::time::sleep(Duration::from_secs(3)).await;
        let mut bystanders = Vec::new();
        let mut is_refused = false;
        for _ in 0..=COUNTED_CRASHES + MAX_LATE_REQUESTS {
            let twice = (0..16).map(|number| get(&format!("/safe/bystander?n={}", number / 2)));
            let sender = Rc::clone(&fleet);
            let together = monoio::spawn(async move { send_together(&sender, twice).await });
            monoio::time::sleep(SEND_TIME).await;
            let is_known = is_refused;
            is_refused = fleet.request(&fatal, &[]).await.is_refusal();
            bystanders.extend(together.await);
            if is_known {
                break;
            }
            monoio::time::sleep(RETURN_TIME).await;
        }
        is_running.set(false);
        let sound = served(&beside.await);
        let crashes = fleet.crashes.borrow().len();
        bystanders.retain(|answer| answer.status() != 200);
        println!(
            "{crashes} crashes, {} bystanders not served, {sound:.2} sound",
            bystanders.len()
        );
        assert!(bystanders.is_empty(), "{bystanders:?}");
        assert!(sound > 0.99, "{sound}");
        assert!(is_refused, "{crashes} crashes");
    });
}

/// Guards against the refusal of a request that is in flight at all servers at all times, so that it
/// is at each of them when it ends for another reason.
#[test]
fn a_popular_request_is_refused_after_its_servers_ended() {
    let options = Options {
        fatal: Fatal::Nothing,
        run_time: Duration::from_millis(100),
        ..plain(4, get("/"), Return::NewName)
    };
    block_on(async {
        let fleet = Fleet::spawn_with(options).await;
        let sender = Rc::clone(&fleet);
        let popular = monoio::spawn(async move {
            let next = |_| (get("/safe/popular"), Vec::new());
            send_for(&sender, Duration::from_secs(16), DENSE_INTERVAL, next).await
        });
        monoio::time::sleep(Duration::from_secs(3)).await;
        for number in 0..8 {
            fleet.crash(number % 4);
            monoio::time::sleep(Duration::from_millis(1_500)).await;
        }
        let answers = popular.await;
        let refused = answers.iter().filter(|answer| answer.is_refusal());
        let (refused, served) = (refused.count(), served(&answers));
        println!("{refused} refused, {served:.2} served");
        assert_eq!(refused, 0);
        assert!(served > 0.95, "{served}");
    });
}

/// Guards against a client account that blocks the requests of another one.
#[test]
fn an_identical_request_of_another_account_is_refused() {
    let fatal = get("/safe/fatal?q=1");
    let identical = Content {
        account: "t-2".to_owned(),
        ..fatal.clone()
    };
    block_on(async {
        let fleet = Fleet::spawn_with(plain(4, fatal.clone(), Return::NewName)).await;
        monoio::spawn(Rc::clone(&fleet).run_servers());
        let end = Instant::now() + MAX_BLOCK_TIME;
        // The next recheck is due long after the end of the test.
        let is_recheck_due = || Instant::now() < end && !fleet.has_rechecked();
        let repeat = |_| (fatal.clone(), Vec::new());
        send_while(&fleet, is_recheck_due, FATAL_INTERVAL, repeat).await;
        monoio::time::sleep(RETURN_TIME).await;
        let others = send_together(&fleet, std::iter::repeat_n(identical, REPEATED)).await;
        let same = send_together(&fleet, std::iter::repeat_n(fatal, REPEATED)).await;
        let crashes = fleet.crashes.borrow().len();
        let (other, refused) = (served(&others), same.iter().filter(|a| a.is_refusal()));
        let refused = refused.count();
        println!("{crashes} crashes, {other:.2} of the other account served, {refused} held");
        assert!(other > 0.99, "{others:?}");
        assert_eq!(refused, REPEATED, "{same:?}");
    });
}
