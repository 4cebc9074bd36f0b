//! Links between routers whose connections break.

use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};

use monoio::{
    io::{AsyncReadRentExt, AsyncWriteRentExt},
    net::TcpStream,
};
use peridotrack_budget::message::{Message, Reply};
use peridotrack_edge::peer::{Frame, Link, frame};
use peridotrack_follow::message as follow_message;
use peridotrack_kernel::{Kernel, Options};
use peridotrack_standin::harness::{http::block_on, relay, wait};
use peridotrack_types::id;
use rstest::rstest;

const KEY: &str = "deployment-of-the-test";
const LIMIT: Duration = Duration::from_secs(5);

/// A router's end of its links, with the numbers in the frames that it received and the number of
/// configurations.
struct Router {
    link: Rc<Link>,
    received: Rc<RefCell<Vec<u64>>>,
    configurations: Rc<RefCell<usize>>,
    failures: Rc<RefCell<usize>>,
}

impl Router {
    fn spawn(incarnation: u64) -> Self {
        let kernel = Kernel::open(Options::default()).unwrap();
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let link = Link::bind(kernel, id::Incarnation(incarnation), any, KEY).unwrap();
        let received = Rc::new(RefCell::new(Vec::new()));
        let configurations = Rc::new(RefCell::new(0));
        let failures = Rc::new(RefCell::new(0));
        let (numbers, failed) = (Rc::clone(&received), Rc::clone(&failures));
        let configured = Rc::clone(&configurations);
        link.subscribe(
            move |_, frame| match frame {
                Frame::Budget {
                    message: Message::Transfer { sent_tokens, .. },
                    ..
                } => numbers.borrow_mut().push(sent_tokens),
                Frame::Config { .. } => *configured.borrow_mut() += 1,
                _ => {}
            },
            move |_| *failed.borrow_mut() += 1,
        );
        Self {
            link,
            received,
            configurations,
            failures,
        }
    }

    fn send(&self, address: SocketAddr, number: u64) {
        self.link.send(address, &numbered(number));
    }

    async fn until_received(&self, numbers: &[u64]) {
        let is_received = || *self.received.borrow() == numbers;
        wait::until(LIMIT, "received frames", is_received)
            .await
            .unwrap();
    }
}

/// A frame to the incarnation 2 that carries a number.
fn numbered(number: u64) -> Frame {
    let message = Message::Transfer {
        budget: "t-1".into(),
        sent_tokens: number,
        reply: Reply::Unsolicited,
        is_scarce: false,
    };
    let to = id::Incarnation(2);
    Frame::Budget { to, message }
}

/// Guards against frames that are written to a connection which has broken since the last one: the
/// question where a stream began was lost with each peer after a reset of connections.
#[rstest]
#[case::one(1)]
#[case::several_at_once(5)]
fn frames_sent_after_the_connection_broke_arrive(#[case] count: u64) {
    block_on(async {
        let (sender, receiver) = (Router::spawn(1), Router::spawn(2));
        let relay = relay::spawn(receiver.link.address()).unwrap();
        sender.send(relay.address(), 0);
        receiver.until_received(&[0]).await;
        for round in 0..3 {
            relay.set(relay::Link::Cut);
            monoio::time::sleep(Duration::from_millis(50)).await;
            relay.set(relay::Link::Open);
            receiver.received.borrow_mut().clear();
            let numbers: Vec<u64> = (0..count).map(|number| 10 * round + number).collect();
            for number in &numbers {
                sender.send(relay.address(), *number);
            }
            receiver.until_received(&numbers).await;
        }
        assert_eq!(*sender.failures.borrow(), 0);
    });
}

/// Guards against a link that keeps using a connection which has fallen silent.
#[test]
fn a_renewed_link_sends_on_a_new_connection() {
    block_on(async {
        let (sender, receiver) = (Router::spawn(1), Router::spawn(2));
        let relay = relay::spawn(receiver.link.address()).unwrap();
        sender.send(relay.address(), 1);
        receiver.until_received(&[1]).await;
        sender.link.renew(relay.address());
        sender.send(relay.address(), 2);
        receiver.until_received(&[1, 2]).await;
        // The end of the former connection does not affect the new one.
        monoio::time::sleep(Duration::from_millis(50)).await;
        sender.send(relay.address(), 3);
        receiver.until_received(&[1, 2, 3]).await;
    });
}

/// A peer that does not accept connections, or closes each one, is reported and not dialled in a loop.
#[test]
fn a_peer_that_refuses_connections_is_reported() {
    block_on(async {
        let (sender, receiver) = (Router::spawn(1), Router::spawn(2));
        let relay = relay::spawn(receiver.link.address()).unwrap();
        relay.set(relay::Link::Cut);
        sender.send(relay.address(), 1);
        let is_reported = || *sender.failures.borrow() > 0;
        wait::until(LIMIT, "the report", is_reported).await.unwrap();
        monoio::time::sleep(Duration::from_millis(100)).await;
        assert_eq!(*sender.failures.borrow(), 1);
    });
}

/// Guards against a frame above the limit, such as all objects of a kind: the peer closes the link on it,
/// and the frames behind it are lost.
#[rstest]
#[case::largest(0, 1)]
#[case::just_above(1, 0)]
#[case::far_above(4 * frame::FRAME_BYTES, 0)]
fn a_frame_above_the_limit_does_not_affect_others(
    #[case] excess_bytes: usize,
    #[case] configurations: usize,
) {
    block_on(async {
        let (sender, receiver) = (Router::spawn(1), Router::spawn(2));
        let address = receiver.link.address();
        sender.send(address, 1);
        // One byte for the variant and three for the length of the content.
        let content = vec![0; frame::FRAME_BYTES - 4 + excess_bytes];
        sender.link.send(address, &Frame::Config { content });
        sender.send(address, 2);
        receiver.until_received(&[1, 2]).await;
        assert_eq!(*receiver.configurations.borrow(), configurations);
        assert_eq!(*sender.failures.borrow(), 0);
    });
}

/// A frame with a message that only a later release knows.
fn later_message() -> Vec<u8> {
    let known = Frame::Follow {
        to: id::Incarnation(2),
        kind: "config".into(),
        message: follow_message::Message::Subscribe,
    };
    let mut body = frame::encode(&known)
        .unwrap()
        .split_off(frame::LENGTH_BYTES);
    // The message is the last byte.
    *body.last_mut().unwrap() = 0x7f;
    body
}

/// Guards against a link that is closed on a message of a later release: the frames behind it were lost
/// while routers were upgraded one after the other.
#[rstest]
#[case::later_frame(vec![0x7f, 1, 2, 3])]
#[case::later_message(later_message())]
#[case::empty(Vec::new())]
fn a_frame_that_cannot_be_decoded_does_not_affect_others(#[case] body: Vec<u8>) {
    assert!(frame::decode(&body).is_err());
    block_on(async {
        let receiver = Router::spawn(2);
        let address = receiver.link.address();
        let mut stream = TcpStream::connect(address).await.unwrap();
        let (result, challenge) = stream.read_exact(vec![0; frame::CHALLENGE_BYTES]).await;
        result.unwrap();
        let challenge = frame::Challenge::try_from(challenge.as_slice()).unwrap();
        let hello = frame::Hello::new(KEY, &challenge, id::Incarnation(1), address);
        let mut bytes = frame::encode(&Frame::Hello(hello)).unwrap();
        bytes.extend(frame::encode(&numbered(1)).unwrap());
        bytes.extend(u32::try_from(body.len()).unwrap().to_be_bytes());
        bytes.extend(body);
        bytes.extend(frame::encode(&numbered(2)).unwrap());
        stream.write_all(bytes).await.0.unwrap();
        receiver.until_received(&[1, 2]).await;
    });
}
