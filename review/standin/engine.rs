//! Engines: model engines that stream events, and plain services.

use std::{
    io,
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        atomic::{AtomicBool, AtomicUsize, Ordering},
        Arc, Condvar, Mutex,
    },
    thread,
    time::{Duration, SystemTime},
};

use crate::{
    http::{Connection, Request},
    record::Record,
    store::Store,
};

/// What the engines of a service do.
#[derive(Clone)]
pub struct Service {
    pub name: &'static str,
    /// Time of work before the answer or the first event.
    pub work: Duration,
    /// Time between two events; `None` for a plain service.
    pub event_gap: Option<Duration>,
    /// Output tokens in one event.
    pub stride: u64,
    /// Number of requests that an engine works on at once; further ones wait.
    pub slots: usize,
}

/// A request that reached an engine and ran.
#[derive(Clone)]
pub struct Run {
    pub at_ms: u64,
    pub engine: String,
    pub request: String,
    /// Whether the engine answered it to the end.
    pub is_complete: bool,
}

/// Everything that ran, at all engines.
#[derive(Default)]
pub struct Runs(Mutex<Vec<Run>>);

impl Runs {
    pub fn all(&self) -> Vec<Run> {
        self.0.lock().unwrap().clone()
    }

    fn begin(&self, run: Run) -> usize {
        let mut runs = self.0.lock().unwrap();
        runs.push(run);
        runs.len() - 1
    }

    fn complete(&self, index: usize) {
        self.0.lock().unwrap()[index].is_complete = true;
    }
}

/// One lifetime of an engine.
pub struct Engine {
    pub id: String,
    pub address: SocketAddr,
    zone: String,
    service: Service,
    born_ms: u128,
    is_down: AtomicBool,
    open: AtomicUsize,
    /// Number of requests that are worked on, and a signal that it has fallen.
    working: Mutex<usize>,
    freed: Condvar,
    streams: Mutex<Vec<TcpStream>>,
    runs: Arc<Runs>,
    record: Arc<Record>,
}

impl Engine {
    /// Starts an engine at a free port, or at the address of an earlier lifetime.
    pub fn start(
        id: &str,
        address: Option<SocketAddr>,
        zone: &str,
        service: &Service,
        runs: &Arc<Runs>,
        record: &Arc<Record>,
    ) -> io::Result<Arc<Self>> {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let listener = TcpListener::bind(address.unwrap_or(any))?;
        let born = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        let engine = Arc::new(Self {
            id: id.to_owned(),
            address: listener.local_addr()?,
            zone: zone.to_owned(),
            service: service.clone(),
            born_ms: born.map_or(0, |born| born.as_millis()),
            is_down: AtomicBool::new(false),
            open: AtomicUsize::new(0),
            working: Mutex::new(0),
            freed: Condvar::new(),
            streams: Mutex::default(),
            runs: Arc::clone(runs),
            record: Arc::clone(record),
        });
        listener.set_nonblocking(true)?;
        let accepting = Arc::clone(&engine);
        thread::spawn(move || accepting.accept(&listener));
        record.note(format!("engine {id} starts at {}", engine.address));
        Ok(engine)
    }

    /// Registers the engine in the store.
    pub fn register(&self, store: &Store) {
        let spec = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
             \"slots\":{},\"state\":\"ready\",\"coldRemainingMs\":0,\"stage\":\"both\",\
             \"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"sequence\":1,\
             \"born\":{}}}",
            self.service.name, self.address, self.zone, self.service.slots, self.born_ms
        );
        store.put("servers", &self.id, &spec);
    }

    /// Ends the process of the engine: its listener and its channels close.
    pub fn end(&self, why: &str) {
        self.is_down.store(true, Ordering::SeqCst);
        let open = self.open.load(Ordering::SeqCst);
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        let id = &self.id;
        self.record.note(format!("engine {id} ends ({why}) with {open} requests at work"));
    }

    pub fn open_requests(&self) -> usize {
        self.open.load(Ordering::SeqCst)
    }

    fn is_down(&self) -> bool {
        self.is_down.load(Ordering::SeqCst)
    }

    fn accept(self: &Arc<Self>, listener: &TcpListener) {
        while !self.is_down() {
            match listener.accept() {
                Ok((stream, _)) => {
                    let _ = stream.set_nonblocking(false);
                    if let Ok(stream) = stream.try_clone() {
                        self.streams.lock().unwrap().push(stream);
                    }
                    let engine = Arc::clone(self);
                    thread::spawn(move || engine.serve(Connection::new(stream)));
                }
                Err(_) => thread::sleep(Duration::from_millis(1)),
            }
        }
    }

    fn serve(&self, mut connection: Connection) -> Option<()> {
        while let Some(request) = connection.request().ok()? {
            if self.is_down() {
                return None;
            }
            if request.path() == "/report" {
                self.report(&mut connection).ok()?;
                continue;
            }
            let expected = request.header("peridotrack-expect-instance");
            if expected.is_some_and(|expected| expected != self.id) {
                self.misdirected(&request, &mut connection).ok()?;
                continue;
            }
            self.open.fetch_add(1, Ordering::SeqCst);
            self.take_slot();
            let result = self.run(&request, &mut connection);
            *self.working.lock().unwrap() -= 1;
            self.freed.notify_one();
            self.open.fetch_sub(1, Ordering::SeqCst);
            result?;
        }
        None
    }

    /// Waits for a slot and takes it.
    fn take_slot(&self) {
        let working = self.working.lock().unwrap();
        let is_full = |working: &mut usize| *working >= self.service.slots;
        *self.freed.wait_while(working, is_full).unwrap() += 1;
    }

    /// Returns the header with the load: requests that run, that wait, and slots.
    fn load(&self) -> String {
        let running = *self.working.lock().unwrap();
        let waiting = self.open_requests().saturating_sub(running);
        let slots = self.service.slots;
        format!("Peridotrack-Server-Load: {running},{waiting},{slots}\r\n")
    }

    fn report(&self, connection: &mut Connection) -> io::Result<()> {
        let body = format!(
            "{{\"stage\":\"both\",\"models\":[],\"busy\":false,\"sequence\":1,\"waiting\":0,\
             \"running\":{},\"kvUsed\":0,\"kvTotal\":500000,\"handles\":0,\"born\":{}}}",
            self.open_requests(),
            self.born_ms
        );
        connection.write(&format!(
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        ))
    }

    fn misdirected(&self, request: &Request, connection: &mut Connection) -> io::Result<()> {
        connection.write(&format!(
            "HTTP/1.1 421 Misdirected Request\r\nPeridotrack-Request-Id: {}\r\n\
             Peridotrack-Not-Executed: 1\r\nPeridotrack-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n",
            request.header("peridotrack-request-id").unwrap_or_default(),
            self.id
        ))
    }

    /// Runs a request; `None` if the channel or the engine ended meanwhile.
    fn run(&self, request: &Request, connection: &mut Connection) -> Option<()> {
        let id = request.header("peridotrack-request-id").unwrap_or_default();
        let index = self.runs.begin(Run {
            at_ms: self.record.now_ms(),
            engine: self.id.clone(),
            request: id.to_owned(),
            is_complete: false,
        });
        thread::sleep(self.service.work);
        if self.is_down() {
            return None;
        }
        let head = format!(
            "HTTP/1.1 200 OK\r\nPeridotrack-Request-Id: {id}\r\nPeridotrack-Response-Seal: {id}.s\r\n\
             {}",
            self.load()
        );
        match self.service.event_gap {
            Some(gap) => self.stream(request, connection, &head, gap)?,
            None => {
                let body = format!("done {id}");
                let length = body.len();
                let text = format!("{head}Content-Length: {length}\r\n\r\n{body}");
                connection.write(&text).ok()?;
            }
        }
        self.runs.complete(index);
        Some(())
    }

    fn stream(
        &self,
        request: &Request,
        connection: &mut Connection,
        head: &str,
        gap: Duration,
    ) -> Option<()> {
        let usage = request.header("peridotrack-token-usage")?;
        let output: u64 = usage.split_once(',')?.1.trim().parse().ok()?;
        let last = request.header("last-event-id").and_then(|text| text.parse().ok());
        let text = format!(
            "{head}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        connection.write(&text).ok()?;
        for number in last.unwrap_or(0) + 1..=output.div_ceil(self.service.stride) {
            if self.is_down() {
                return None;
            }
            let event = format!("id: {number}\ndata: piece {number}\n\n");
            connection.write(&format!("{:x}\r\n{event}\r\n", event.len())).ok()?;
            thread::sleep(gap);
        }
        connection.write("0\r\n\r\n").ok()
    }
}
