//! Gateways whose frames to each other arrive late, although none is lost.

use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use peridotrack_edge::peer;
use peridotrack_kernel::{Kernel, Options};
use peridotrack_member::message as member_message;
use peridotrack_standin::harness::{http::block_on, wait};
use peridotrack_types::id;
use rstest::rstest;

use crate::{
    fixture::{LIMIT, settings},
    peers::{ProxiedGateway, extended, spawn_store},
};

/// Period at which frames that are due are sent on.
const PUMP_PERIOD: Duration = Duration::from_millis(5);
/// Time in which the delay of a queue grows to its maximum.
const GROWTH: Duration = Duration::from_secs(12);

/// The delay of the frames in one direction.
#[derive(Clone, Copy)]
struct Delay {
    since: Instant,
    max: Duration,
}

impl Delay {
    fn now(self) -> Duration {
        let grown = self.since.elapsed().as_secs_f64() / GROWTH.as_secs_f64();
        self.max.mul_f64(grown.min(1.0))
    }
}

/// One end of the path between two gateways: it stands for one of them at the other.
struct End {
    incarnation: id::Incarnation,
    link: Rc<peer::Link>,
    /// Address of the gateway that it stands for.
    address: SocketAddr,
    /// Delay of the frames that are sent to the gateway that it stands for.
    delay: Cell<Option<Delay>>,
    /// Frames to that gateway, and when they are due.
    queue: RefCell<VecDeque<(Instant, peer::Frame)>>,
}

impl End {
    fn new(gateway: &ProxiedGateway, key: &str) -> Rc<Self> {
        let kernel = Kernel::open(Options::default()).unwrap();
        let incarnation = gateway.gateway.incarnation();
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        Rc::new(Self {
            incarnation,
            link: peer::Link::bind(kernel, incarnation, any, key).unwrap(),
            address: gateway.gateway.peer_address(),
            delay: Cell::default(),
            queue: RefCell::default(),
        })
    }

    /// Sends each frame that arrives here to the gateway that this end stands for, in the name of the
    /// one that `other` stands for.
    fn forward(self: &Rc<Self>, other: &Rc<Self>) {
        let end = Rc::clone(self);
        let addresses = [&**self, &**other].map(|end| (end.incarnation, end.link.address()));
        let on_frame = move |_, mut frame| {
            if let peer::Frame::Member(message) = &mut frame {
                readdress(message, &addresses);
            }
            let delay = end.delay.get().map_or(Duration::ZERO, Delay::now);
            let due = Instant::now() + delay;
            end.queue.borrow_mut().push_back((due, frame));
        };
        self.link.subscribe(on_frame, |_| {});
        let (end, other) = (Rc::clone(self), Rc::clone(other));
        monoio::spawn(async move {
            loop {
                monoio::time::sleep(PUMP_PERIOD).await;
                let now = Instant::now();
                let mut queue = end.queue.borrow_mut();
                while let Some((_, frame)) = queue.pop_front_if(|(due, _)| *due <= now) {
                    other.link.send(end.address, &frame);
                }
            }
        });
    }
}

/// Replaces the addresses of gateways by those of the ends that stand for them.
fn readdress(
    message: &mut member_message::Message,
    addresses: &[(id::Incarnation, SocketAddr); 2],
) {
    let (member_message::Message::Heartbeat(report) | member_message::Message::Reply(report)) =
        message;
    for record in std::iter::once(&mut report.from).chain(&mut report.records) {
        let mut ends = addresses.iter();
        if let Some((_, address)) = ends.find(|(of, _)| *of == record.incarnation) {
            record.peer_address = *address;
        }
    }
}

/// Guards against gateways that lag behind by as much as the updates of their relay, which come regularly
/// but late.
#[rstest]
#[case::to_the_subscriber(false)]
#[case::to_the_relay(true)]
fn a_configuration_is_in_force_in_time_although_frames_between_gateways_are_late(
    #[case] is_relay_late: bool,
) {
    const MAX_DELAY: Duration = Duration::from_secs(4);
    block_on(async {
        let (store, _backend) = spawn_store();
        let settings = settings(&store);
        let first = ProxiedGateway::spawn(&store, Vec::new());
        let first_end = End::new(&first, &settings.peer_key);
        let second = ProxiedGateway::spawn(&store, vec![first_end.link.address()]);
        let second_end = End::new(&second, &settings.peer_key);
        first_end.forward(&second_end);
        second_end.forward(&first_end);
        let is_first_relay = first.gateway.incarnation() < second.gateway.incarnation();
        let (relay_end, follower, follower_end) = match is_first_relay {
            true => (&first_end, &second, &second_end),
            false => (&second_end, &first, &first_end),
        };
        let relayed = || follower.gateway.is_relayed("config");
        wait::until(LIMIT, "relayed configuration", relayed)
            .await
            .unwrap();
        let late = match is_relay_late {
            true => relay_end,
            false => follower_end,
        };
        late.delay.set(Some(Delay {
            since: Instant::now(),
            max: MAX_DELAY,
        }));
        monoio::time::sleep(GROWTH).await;
        let apply = Duration::from_millis(settings.bounds.config_apply_ms);
        for version in 2..4 {
            let path = format!("/added-{version}/");
            store.put("config", "main", extended(version, &path));
            for gateway in [&first, &second] {
                gateway.until_route(&path, apply).await;
            }
        }
    });
}
