//! Messages of other routers.

use std::rc::Rc;

use peridotrack_budget::message::{Answer, Message};
use peridotrack_edge::peer;
use peridotrack_kernel::{Kernel, Options};
use peridotrack_standin::harness::{http::block_on, wait};
use peridotrack_types::{id, name};

use crate::{
    budget::ask,
    rig::{LIMIT, Rig, settings},
};

const SENDER: id::Incarnation = id::Incarnation(77);

fn give(to: id::Incarnation, sent_tokens: u64) -> peer::Frame {
    let message = Message::Give {
        budget: "t-1".into(),
        sent_tokens,
        answer: Answer::Unasked,
        is_scarce: false,
    };
    peer::Frame::Budget { to, message }
}

#[test]
fn tokens_for_an_earlier_incarnation_at_the_address_are_not_taken() {
    block_on(async {
        let rig = Rig::spawn(1).await;
        assert_eq!(ask(&rig).await, 200);
        let kernel = Kernel::open(Options::default()).unwrap();
        let settings = settings(&rig.store);
        let any = settings.peer_address;
        let link = peer::Link::bind(Rc::clone(&kernel), SENDER, any, &settings.peer_key).unwrap();
        let gateway = &rig.gateway;
        let earlier = id::Incarnation(gateway.incarnation().0 ^ 1);
        link.send(gateway.peer_address(), &give(earlier, 5_000));
        link.send(gateway.peer_address(), &give(gateway.incarnation(), 7));
        let received = || {
            let report = gateway.budget().report(&name::Budget::from("t-1"));
            report.is_some_and(|report| report.received_tokens > 0)
        };
        wait::until(LIMIT, "the tokens", received).await.unwrap();
        let report = gateway.budget().report(&name::Budget::from("t-1")).unwrap();
        assert_eq!(report.received_tokens, 7);
    });
}
