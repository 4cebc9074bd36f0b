//! Backend servers that crash under one prompt part: a fleet of gateways must stop sending it.

use std::{rc::Rc, time::Duration};

use peridotrack_standin::harness::http::block_on;

use crate::fleet::{COUNTED_CRASHES, FATAL_PART, Fleet};

/// Part that all prompts begin with.
const FIRST_PART: u64 = 0xf1;
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
        let (late, crashes) = (fleet.late_arrivals(), fleet.crashes.borrow().len());
        println!("{crashes} crashes, {late} late requests, {served:.2} of the others served");
        assert!(crashes >= COUNTED_CRASHES - 2, "{crashes}");
        assert!(late <= MAX_LATE_REQUESTS, "{late} of {crashes} crashes");
        assert!(served > 0.9, "{served}");
    });
}
