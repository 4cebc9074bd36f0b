//! Guards against a process that is started twice and shares its address with the first one.

use peridotrack_http::listen;

#[test]
fn address_in_use_is_refused() {
    let mut runtime = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_timer()
        .build()
        .expect("runtime");
    runtime.block_on(async {
        let first = listen::bind("127.0.0.1:0".parse().expect("address")).expect("a free port");
        let taken = first.local_addr().expect("address");
        let second = listen::bind(taken).map(drop);
        assert_eq!(
            second.map_err(|error| error.kind()),
            Err(std::io::ErrorKind::AddrInUse)
        );
    });
}
