//! Stand-ins of the platform, of engines and of callers, and the cases of this folder that use them.
//!
//! Uses only the standard library. Built by `review/build.sh`, started by `review/N/run.sh`.

use std::{
    collections::{BTreeMap, HashMap},
    fmt::Write as _,
    fs,
    io::{self, ErrorKind, Read, Write},
    net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, ExitCode, Stdio},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

mod chunks;
mod hang;
mod memory;

/// Exit codes of a case.
pub const HELD: u8 = 0;
pub const BROKEN: u8 = 1;
pub const NOT_RUN: u8 = 2;

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let case = arguments.next().unwrap_or_default();
    let folder = PathBuf::from(arguments.next().unwrap_or_default());
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let run = match case.as_str() {
        "chunks" => chunks::run,
        "hang" => hang::run,
        "memory" => memory::run,
        _ => {
            eprintln!("unknown case {case:?}");
            return ExitCode::from(NOT_RUN);
        }
    };
    let record = Record::new();
    let code = match run(&record, trouble) {
        Ok(true) => HELD,
        Ok(false) => BROKEN,
        Err(error) => {
            record.line(&format!("the case could not run: {error}"));
            NOT_RUN
        }
    };
    record.line(&format!("exit {code}"));
    match record.write(&folder.join("record.txt")) {
        Ok(()) => ExitCode::from(code),
        Err(error) => {
            eprintln!("cannot write the record: {error}");
            ExitCode::from(NOT_RUN)
        }
    }
}

/// The platform's messages, with placeholders.
const MESSAGES: &str = include_str!("messages.txt");

/// Returns a message of the platform with the values filled in.
pub fn message(name: &str, values: &[(&str, &str)]) -> String {
    let start = format!("== {name}\n");
    let start = MESSAGES.find(&start).expect("the message exists") + start.len();
    let rest = &MESSAGES[start..];
    let end = rest.find("\n== ").expect("another message follows");
    let mut text = rest[..end].to_owned();
    for (key, value) in values {
        text = text.replace(&format!("<{key}>"), value);
    }
    text
}

/// Returns the lines of an HTTP message or of a part of it.
pub fn http_message(name: &str, values: &[(&str, &str)]) -> String {
    let text = message(name, values);
    text.split('\n').map(|line| format!("{line}\r\n")).collect()
}

/// What was sent, answered and run, with the time since the start of the case.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    lines: Arc<Mutex<Vec<(Duration, String)>>>,
}

impl Record {
    fn new() -> Self {
        Self {
            started: Instant::now(),
            lines: Arc::default(),
        }
    }

    pub fn line(&self, text: &str) {
        let at = self.started.elapsed();
        self.lines.lock().unwrap().push((at, text.to_owned()));
    }

    fn write(&self, file: &Path) -> io::Result<()> {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by_key(|(at, _)| *at);
        let mut text = String::new();
        for (at, line) in lines {
            let _ = writeln!(text, "{:8.3} {line}", at.as_secs_f64());
        }
        fs::write(file, text)
    }
}

/// Head of an HTTP message, with lower-case header names.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub first: String,
    pub headers: HashMap<String, String>,
}

impl Head {
    pub fn get(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// Method and target of a request.
    fn request_line(&self) -> (&str, &str) {
        let mut words = self.first.split(' ');
        (words.next().unwrap_or(""), words.next().unwrap_or(""))
    }

    /// Status of a response.
    pub fn status(&self) -> u16 {
        let status = self.first.split(' ').nth(1);
        status.and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    fn length(&self) -> usize {
        self.get("content-length").parse().unwrap_or(0)
    }
}

/// A connection with its unread bytes.
pub struct Channel {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Channel {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    pub fn connect(address: SocketAddr) -> io::Result<Self> {
        TcpStream::connect_timeout(&address, Duration::from_secs(1)).map(Self::new)
    }

    /// Sets until when reads wait.
    fn read_more(&mut self, until: Instant) -> io::Result<usize> {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(ErrorKind::TimedOut.into());
        }
        self.stream.set_read_timeout(Some(left))?;
        let mut piece = [0; 65536];
        let count = self.stream.read(&mut piece)?;
        self.buffer.extend_from_slice(&piece[..count]);
        Ok(count)
    }

    /// Reads a head. `None` if the channel ended before its first byte.
    pub fn read_head(&mut self, until: Instant) -> io::Result<Option<Head>> {
        loop {
            let end = self.buffer.windows(4).position(|four| four == b"\r\n\r\n");
            if let Some(end) = end {
                let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 4);
                let mut lines = text.split("\r\n");
                let first = lines.next().unwrap_or_default().to_owned();
                let pairs = lines.filter_map(|line| line.split_once(':'));
                let headers = pairs
                    .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
                    .collect();
                return Ok(Some(Head { first, headers }));
            }
            if self.read_more(until)? == 0 {
                return match self.buffer.is_empty() {
                    true => Ok(None),
                    false => Err(ErrorKind::UnexpectedEof.into()),
                };
            }
        }
    }

    pub fn read_exact(&mut self, length: usize, until: Instant) -> io::Result<Vec<u8>> {
        while self.buffer.len() < length {
            if self.read_more(until)? == 0 {
                return Err(ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..length).collect())
    }

    /// Reads and drops bytes, and nothing beyond them.
    fn read_plain(&mut self, mut length: usize, until: Instant) -> io::Result<()> {
        let mut piece = [0; 16 << 10];
        while length > 0 {
            let left = until.saturating_duration_since(Instant::now());
            self.stream
                .set_read_timeout(Some(left.max(Duration::from_millis(1))))?;
            let most = length.min(piece.len());
            match self.stream.read(&mut piece[..most])? {
                0 => return Err(ErrorKind::UnexpectedEof.into()),
                count => length -= count,
            }
        }
        Ok(())
    }

    fn read_line(&mut self, until: Instant) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|two| two == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 2);
                return Ok(line);
            }
            if self.read_more(until)? == 0 {
                return Err(ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Reads the body of a response. Each wait for more bytes lasts until `until(time of the latest
    /// bytes)`.
    pub fn read_body(
        &mut self,
        head: &Head,
        until: impl Fn(Instant) -> Instant,
    ) -> io::Result<Vec<u8>> {
        if !head.get("transfer-encoding").contains("chunked") {
            return self.read_exact(head.length(), until(Instant::now()));
        }
        let mut body = Vec::new();
        let mut latest = Instant::now();
        loop {
            let size = self.read_line(until(latest))?;
            let size = usize::from_str_radix(size.trim(), 16)
                .map_err(|_| io::Error::from(ErrorKind::InvalidData))?;
            let chunk = self.read_exact(size + 2, until(latest))?;
            if size == 0 {
                return Ok(body);
            }
            body.extend_from_slice(&chunk[..size]);
            latest = Instant::now();
        }
    }
}

/// Returns the text of the value of `key` in a JSON object, without a full parser: the stand-in
/// reads only what gateways write.
fn json_value<'a>(text: &'a str, key: &str) -> Option<&'a str> {
    let pattern = format!("\"{key}\":");
    let start = text.find(&pattern)? + pattern.len();
    let rest = &text[start..];
    let mut depth = 0;
    let mut in_text = false;
    let mut escaped = false;
    for (index, byte) in rest.bytes().enumerate() {
        if in_text {
            match byte {
                _ if escaped => escaped = false,
                b'\\' => escaped = true,
                b'"' => in_text = false,
                _ => {}
            }
            continue;
        }
        match byte {
            b'"' => in_text = true,
            b'{' | b'[' => depth += 1,
            b'}' | b']' if depth == 0 => return Some(&rest[..index]),
            b'}' | b']' => depth -= 1,
            b',' if depth == 0 => return Some(&rest[..index]),
            _ => {}
        }
    }
    Some(rest)
}

#[derive(Clone)]
struct StoredObject {
    revision: u64,
    created: u64,
    spec: String,
}

impl StoredObject {
    fn json(&self, name: &str) -> String {
        format!(
            "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{},\"created\":{},\
             \"finalizers\":[],\"deleting\":false}},\"spec\":{},\"status\":null}}",
            self.revision, self.created, self.spec
        )
    }
}

#[derive(Default)]
struct StoreState {
    revision: u64,
    kinds: HashMap<String, BTreeMap<String, StoredObject>>,
    /// Revision, kind and JSON of each event.
    events: Vec<(u64, String, String)>,
}

/// The platform's store.
pub struct Store {
    pub address: SocketAddr,
    state: Mutex<StoreState>,
    changed: Condvar,
}

impl Store {
    pub fn start() -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let store = Arc::new(Self {
            address: listener.local_addr()?,
            state: Mutex::new(StoreState {
                revision: 100,
                ..StoreState::default()
            }),
            changed: Condvar::new(),
        });
        let server = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = Arc::clone(&server);
                thread::spawn(move || server.serve(Channel::new(stream)));
            }
        });
        Ok(store)
    }

    /// Writes an object as the operator or an engine does.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        let mut state = self.state.lock().unwrap();
        let known = state.kinds.entry(kind.to_owned()).or_default().get(name);
        if known.is_some_and(|known| known.spec == spec) {
            return;
        }
        let created = known.map(|known| known.created);
        state.revision += 1;
        let revision = state.revision;
        let object = StoredObject {
            revision,
            created: created.unwrap_or(revision),
            spec: spec.to_owned(),
        };
        let event = format!("{{\"deleted\":false,\"object\":{}}}", object.json(name));
        let objects = state.kinds.get_mut(kind).unwrap();
        objects.insert(name.to_owned(), object);
        state.events.push((revision, kind.to_owned(), event));
        self.changed.notify_all();
    }

    fn serve(&self, mut channel: Channel) {
        loop {
            let until = Instant::now() + Duration::from_secs(120);
            let Ok(Some(head)) = channel.read_head(until) else {
                return;
            };
            let Ok(body) = channel.read_exact(head.length(), until) else {
                return;
            };
            let (status, body) = self.respond(&head, &String::from_utf8_lossy(&body));
            let response = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if channel.stream.write_all(response.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn respond(&self, head: &Head, body: &str) -> (u16, String) {
        let (method, target) = head.request_line();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let Some(path) = path.strip_prefix(&message("objects", &[])) else {
            return (404, "{}".to_owned());
        };
        let (kind, name) = path.split_once('/').unwrap_or((path, ""));
        let query: HashMap<&str, &str> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .collect();
        let watch = query.get("watch").and_then(|from| from.parse().ok());
        match (method, watch) {
            ("GET", Some(from)) => {
                let wait = query.get("waitMs").and_then(|wait| wait.parse().ok());
                (200, self.watch(kind, from, wait.unwrap_or(0)))
            }
            ("GET", None) => (200, self.list(kind)),
            ("POST", _) => {
                let name = json_value(body, "name").unwrap_or("\"\"").trim_matches('"');
                let state = self.state.lock().unwrap();
                let known = state.kinds.get(kind).and_then(|objects| objects.get(name));
                if let Some(known) = known {
                    return (409, known.json(name));
                }
                drop(state);
                self.write(kind, name, body)
            }
            ("PUT", _) => self.write(kind, name, body),
            _ => (404, "{}".to_owned()),
        }
    }

    fn write(&self, kind: &str, name: &str, body: &str) -> (u16, String) {
        self.put(kind, name, json_value(body, "spec").unwrap_or("null"));
        let state = self.state.lock().unwrap();
        (200, state.kinds[kind][name].json(name))
    }

    fn list(&self, kind: &str) -> String {
        let state = self.state.lock().unwrap();
        let objects = state.kinds.get(kind);
        let items: Vec<String> = objects
            .into_iter()
            .flatten()
            .map(|(name, object)| object.json(name))
            .collect();
        let revision = state.revision.to_string();
        message(
            "page",
            &[("items", &items.join(",")), ("revision", &revision)],
        )
    }

    fn watch(&self, kind: &str, from: u64, wait_ms: u64) -> String {
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut state = self.state.lock().unwrap();
        loop {
            let events = state.events.iter();
            let events: Vec<&str> = events
                .filter(|(revision, of, _)| *revision > from && of == kind)
                .map(|(_, _, event)| event.as_str())
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let revision = state.revision.to_string();
                let values = [("events", &*events.join(",")), ("revision", &revision)];
                return message("events", &values);
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

/// How an engine reads a request and answers it.
#[derive(Clone, Copy, Debug)]
pub struct EngineWork {
    /// Bytes of a body that the engine reads in a second; `None` for all at once.
    pub read_per_s: Option<usize>,
    /// Time until the first byte of the answer.
    pub first: Duration,
    /// Events of a stream; 0 for a plain answer.
    pub events: u32,
    /// Time between two events.
    pub gap: Duration,
}

/// Reads a body, at the given rate if there is one.
fn read_body(channel: &mut Channel, length: usize, rate: Option<usize>) -> io::Result<()> {
    const PIECE: usize = 16 << 10;
    let limit = Instant::now() + Duration::from_secs(60);
    let started = Instant::now();
    let mut read = 0;
    while read < length {
        let piece = PIECE.min(length - read);
        // Not through `Channel::read_exact`, which reads ahead.
        let buffered = channel.buffer.len().min(piece);
        channel.buffer.drain(..buffered);
        channel.read_plain(piece - buffered, limit)?;
        read += piece;
        if let Some(rate) = rate {
            let due = started + Duration::from_secs_f64(read as f64 / rate as f64);
            thread::sleep(due.saturating_duration_since(Instant::now()));
        }
    }
    Ok(())
}

/// One engine. It runs every request that names its id.
pub struct Engine {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    /// Ids of the requests whose heads the engine got.
    pub got: Mutex<Vec<String>>,
    /// Ids of the requests that the engine has run and answered whole.
    pub answered: Mutex<Vec<String>>,
    active: AtomicU64,
    slots: u32,
    record: Record,
}

impl Engine {
    pub fn start(
        record: &Record,
        id: &str,
        service: &str,
        zone: &str,
        slots: u32,
        work: fn(&Head) -> EngineWork,
    ) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let engine = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address: listener.local_addr()?,
            got: Mutex::default(),
            answered: Mutex::default(),
            active: AtomicU64::new(0),
            slots,
            record: record.clone(),
        });
        let server = Arc::clone(&engine);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = Arc::clone(&server);
                thread::spawn(move || server.serve(Channel::new(stream), work));
            }
        });
        Ok(engine)
    }

    /// The engine's entry in the store.
    pub fn entry(&self, state: &str) -> String {
        let values = [
            ("service", &*self.service),
            ("address", &self.address.to_string()),
            ("zone", &self.zone),
            ("slots", &self.slots.to_string()),
            ("state", state),
        ];
        message("engine entry", &values)
    }

    fn serve(&self, mut channel: Channel, work: fn(&Head) -> EngineWork) {
        loop {
            let until = Instant::now() + Duration::from_secs(60);
            let Ok(Some(head)) = channel.read_head(until) else {
                return;
            };
            let id = head.get(&message("id header", &[])).to_owned();
            self.got.lock().unwrap().push(id);
            let work = work(&head);
            if read_body(&mut channel, head.length(), work.read_per_s).is_err() {
                return;
            }
            let expected = head.get(&message("expected engine header", &[]));
            if !expected.is_empty() && expected != self.id {
                let response = http_message("another engine", &[("engine", &self.id)]);
                let _ = channel.stream.write_all(response.as_bytes());
                continue;
            }
            self.active.fetch_add(1, Ordering::Relaxed);
            let sent = self.answer(&mut channel, &head, work);
            self.active.fetch_sub(1, Ordering::Relaxed);
            if sent.is_err() {
                return;
            }
        }
    }

    fn answer(&self, channel: &mut Channel, head: &Head, work: EngineWork) -> io::Result<()> {
        let id = head.get(&message("id header", &[])).to_owned();
        self.record.line(&format!("engine {} runs {id}", self.id));
        thread::sleep(work.first);
        let active = self.active.load(Ordering::Relaxed);
        let values = [
            ("id", &*id),
            ("active", &active.to_string()),
            ("slots", &self.slots.to_string()),
        ];
        let common = http_message("answer", &values);
        if work.events == 0 {
            let body = format!("{{\"answer\":\"{id}\"}}");
            let text = format!("{common}Content-Length: {}\r\n\r\n{body}", body.len());
            channel.stream.write_all(text.as_bytes())?;
        } else {
            let text = format!(
                "{common}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
            );
            channel.stream.write_all(text.as_bytes())?;
            for event in 1..=work.events {
                let event = format!("id: {event}\ndata: {}\n\n", "x".repeat(48));
                let chunk = format!("{:x}\r\n{event}\r\n", event.len());
                channel.stream.write_all(chunk.as_bytes())?;
                thread::sleep(work.gap);
            }
            channel.stream.write_all(b"0\r\n\r\n")?;
        }
        self.record
            .line(&format!("engine {} has answered {id} whole", self.id));
        self.answered.lock().unwrap().push(id);
        Ok(())
    }
}

/// A gateway process, killed when this is dropped.
pub struct Gateway {
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    child: Mutex<Child>,
    folder: PathBuf,
}

/// Port of the administration, which the template fixes.
const ADMIN_PORT: u16 = 9464;

/// Returns a loopback address for a process on which the port that the template fixes is free.
fn own_address(number: u8) -> io::Result<Ipv4Addr> {
    let process = std::process::id();
    for attempt in 0..100 {
        let [_, high, middle, low] = (process.wrapping_add(attempt * 7919)).to_be_bytes();
        let ip = Ipv4Addr::new(127, high.wrapping_add(middle) | 1, low, 10 + number);
        if TcpListener::bind((ip, ADMIN_PORT)).is_ok() {
            return Ok(ip);
        }
    }
    Err(io::Error::other("no loopback address is free"))
}

/// Returns different ports that are free at the address.
fn free_ports<const COUNT: usize>(ip: Ipv4Addr) -> io::Result<[u16; COUNT]> {
    // Held together, so that none is given out twice.
    let mut held = Vec::new();
    let mut ports = [0; COUNT];
    for port in &mut ports {
        let listener = TcpListener::bind((ip, 0))?;
        *port = listener.local_addr()?.port();
        held.push(listener);
    }
    Ok(ports)
}

impl Gateway {
    /// Starts a gateway with the command of the deploy file, and settings as its template gives them
    /// for an `edge` machine of a small deployment.
    pub fn start(number: u8, zone: &str, store: SocketAddr) -> io::Result<Self> {
        let ip = own_address(number)?;
        let folder = std::env::temp_dir().join(format!("review-{}-{number}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let template = fs::read_to_string("deploy/gateway.jsonc")?;
        let [callers, ready, peers] = free_ports(ip)?;
        let values = [
            ("nodeName", format!("edge-{zone}-{number}")),
            ("zone", zone.to_owned()),
            ("limits.cpuShare", "0.19".to_owned()),
            ("bootstrap", "true".to_owned()),
            ("listen.frontend", format!("{ip}:{callers}")),
            ("listen.ready", format!("{ip}:{ready}")),
            ("ip", ip.to_string()),
            ("internalPorts.0", peers.to_string()),
            ("platform.address", store.to_string()),
            ("bounds.retryBudgetRatio", "0.2".to_owned()),
            ("bounds.budgetSlack", "104".to_owned()),
            ("bounds.budgetWindowS", "10".to_owned()),
            ("bounds.graceS", "8".to_owned()),
        ];
        let lines = template.lines().filter(|line| !line.contains("{{#"));
        let mut text = lines.collect::<Vec<_>>().join("\n");
        for (name, value) in values {
            text = text.replace(&format!("{{{{{name}}}}}"), &value);
        }
        let settings = folder.join("node.yaml");
        fs::write(&settings, text)?;
        let log = fs::File::create(folder.join("log.txt"))?;
        let child = Command::new("target/release/lovagedock-direct")
            .arg("--settings")
            .arg(&settings)
            .env_clear()
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        Ok(Self {
            callers: SocketAddrV4::new(ip, callers).into(),
            ready: SocketAddrV4::new(ip, ready).into(),
            child: Mutex::new(child),
            folder,
        })
    }

    /// Returns whether the gateway says that it is ready.
    pub fn is_ready(&self) -> bool {
        let ask = || -> io::Result<u16> {
            let mut channel = Channel::connect(self.ready)?;
            let request = http_message("ready request", &[]);
            channel.stream.write_all(request.as_bytes())?;
            let head = channel.read_head(Instant::now() + Duration::from_secs(1))?;
            Ok(head.map_or(0, |head| head.status()))
        };
        ask().is_ok_and(|status| status == 200)
    }

    pub fn wait_until_ready(&self) -> io::Result<()> {
        let until = Instant::now() + Duration::from_secs(20);
        while Instant::now() < until {
            if self.is_ready() {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(100));
        }
        let log = fs::read_to_string(self.folder.join("log.txt")).unwrap_or_default();
        eprintln!("{log}");
        Err(io::Error::other("a gateway does not get ready"))
    }

    /// Kills the process.
    pub fn kill(&self) {
        let _ = self.child.lock().unwrap().kill();
    }

    /// Returns a field of the process in kilobytes, such as `VmHWM`.
    pub fn memory_kb(&self, field: &str) -> u64 {
        let id = self.child.lock().unwrap().id();
        let status = fs::read_to_string(format!("/proc/{id}/status"));
        let status = status.unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with(field));
        let number = line.and_then(|line| line.split_whitespace().nth(1));
        number.and_then(|number| number.parse().ok()).unwrap_or(0)
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let mut child = self.child.lock().unwrap();
        let _ = child.kill();
        let _ = child.wait();
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

pub const MODEL_SERVICE: &str = "huvo11a";
pub const PLAIN_SERVICE: &str = "wuno96b";
pub const HOST: &str = "ficu95.example";
pub const KEY: &str = "n2ctnfzs989anu6wsjnb";

/// A configuration as the platform's page of examples shows it, with the given routes.
pub fn config(version: u64, routes: &[String]) -> String {
    let values = [
        ("version", &*version.to_string()),
        ("routes", &routes.join(",")),
        ("model_service", MODEL_SERVICE),
        ("plain_service", PLAIN_SERVICE),
        ("key", KEY),
    ];
    message("configuration", &values)
}

/// A caller's request.
pub struct Request<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub id: &'a str,
    pub deadline_ms: u64,
    /// Prompt tokens and maximum tokens of the answer.
    pub tokens: Option<(u64, u64)>,
    pub body: &'a [u8],
}

impl Request<'_> {
    pub fn head(&self) -> String {
        let values = [
            ("method", self.method),
            ("path", self.path),
            ("host", HOST),
            ("id", self.id),
            ("deadline", &self.deadline_ms.to_string()),
            ("key", KEY),
        ];
        let mut text = http_message("request", &values);
        if let Some((prompt, answer)) = self.tokens {
            let values = [
                ("prompt", &*prompt.to_string()),
                ("answer", &answer.to_string()),
                ("id", self.id),
                ("rest", &(prompt - 40).to_string()),
            ];
            text.push_str(&http_message("prompt", &values));
        }
        let _ = write!(text, "Content-Length: {}\r\n\r\n", self.body.len());
        text
    }

    /// Writes the request to the channel.
    pub fn send(&self, channel: &mut Channel) -> io::Result<()> {
        channel.stream.write_all(self.head().as_bytes())?;
        channel.stream.write_all(self.body)
    }
}

/// A small deployment: three gateways in as many zones, engines and the store.
pub struct Deployment {
    pub engines: Vec<Arc<Engine>>,
    pub gateways: Vec<Gateway>,
}

impl Deployment {
    /// Starts everything, with six model engines and one application engine in each zone.
    pub fn start(
        record: &Record,
        routes: &[String],
        work: fn(&Head) -> EngineWork,
    ) -> io::Result<Self> {
        let store = Store::start()?;
        store.put("config", "main", &config(7, routes));
        let zones = ["amman-a", "amman-b", "amman-c"];
        let mut engines = Vec::new();
        for (index, zone) in zones.iter().cycle().take(6).enumerate() {
            let id = format!("i-llm{index}");
            engines.push(Engine::start(record, &id, MODEL_SERVICE, zone, 16, work)?);
        }
        for (index, zone) in zones.iter().enumerate() {
            let id = format!("i-app{index}");
            engines.push(Engine::start(record, &id, PLAIN_SERVICE, zone, 6, work)?);
        }
        for engine in &engines {
            store.put("servers", &engine.id, &engine.entry("ready"));
        }
        let mut gateways = Vec::new();
        for (index, zone) in zones.iter().enumerate() {
            gateways.push(Gateway::start(index as u8, zone, store.address)?);
        }
        for gateway in &gateways {
            gateway.wait_until_ready()?;
        }
        thread::sleep(Duration::from_secs(2));
        record.line("all gateways are ready");
        Ok(Self { engines, gateways })
    }

    /// Returns the ids of the requests whose heads engines got.
    pub fn got(&self) -> Vec<String> {
        let engines = self.engines.iter();
        engines
            .flat_map(|engine| engine.got.lock().unwrap().clone())
            .collect()
    }

    /// Returns the ids of the requests that engines have answered whole.
    pub fn answered(&self) -> Vec<String> {
        let engines = self.engines.iter();
        engines
            .flat_map(|engine| engine.answered.lock().unwrap().clone())
            .collect()
    }
}

/// Route of long prompts, with their objectives as on the sheet.
pub fn stream_route(timeout_ms: u64) -> String {
    let timeout = timeout_ms.to_string();
    let values = [
        ("host", HOST),
        ("timeout", &*timeout),
        ("service", MODEL_SERVICE),
    ];
    message("stream route", &values)
}

/// Route of the application.
pub fn unsafe_route() -> String {
    message(
        "unsafe route",
        &[("host", HOST), ("service", PLAIN_SERVICE)],
    )
}

/// How long a caller of that stream waits for its first event and between events: four times the
/// objective, which is longer than two seconds and eight times the pause.
pub const PATIENCE: Duration = Duration::from_secs(12);

/// Opens a channel for each caller and serves a small request on it, so that it is a kept one.
pub fn keep_channels<'a>(
    record: &'a Record,
    gateway: &Gateway,
    count: usize,
) -> io::Result<Vec<Caller<'a>>> {
    thread::scope(|scope| {
        let open = |number| {
            let channel = Channel::connect(gateway.callers)?;
            let mut caller = Caller { record, channel };
            match caller.call(&format!("{:016x}", 0x1000 + number), b"{}") {
                (Ending::Answered(200), _) => Ok(caller),
                (ending, _) => Err(io::Error::other(format!("a small request: {ending:?}"))),
            }
        };
        let threads = (0..count).map(|number| {
            // Spread over a second, so that the engines' slots suffice.
            thread::sleep(Duration::from_millis(15));
            scope.spawn(move || open(number))
        });
        let threads: Vec<_> = threads.collect();
        let callers = threads.into_iter();
        callers
            .map(|thread| thread.join().expect("no caller panics"))
            .collect()
    })
}

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// A whole answer with this status.
    Answered(u16),
    /// The caller waited in vain.
    GaveUp,
    /// The channel ended without a whole answer.
    Closed,
}

impl Ending {
    pub fn of(error: &io::Error) -> Self {
        match error.kind() {
            ErrorKind::WouldBlock | ErrorKind::TimedOut => Self::GaveUp,
            _ => Self::Closed,
        }
    }
}

/// A caller of streams with a kept channel.
pub struct Caller<'a> {
    pub record: &'a Record,
    pub channel: Channel,
}

impl Caller<'_> {
    /// Sends a stream request and waits for the whole answer.
    pub fn call(&mut self, id: &str, body: &[u8]) -> (Ending, Duration) {
        let sent = Instant::now();
        let request = Request {
            method: "POST",
            path: "/pufi791/2f",
            id,
            deadline_ms: 15_000,
            tokens: Some((5_000, 966)),
            body,
        };
        let result = self.exchange(&request, sent);
        let took = sent.elapsed();
        let ending = match &result {
            Ok(status) => Ending::Answered(*status),
            Err(error) => Ending::of(error),
        };
        let seconds = took.as_secs_f64();
        self.record
            .line(&format!("caller {id}: {ending:?} after {seconds:.3} s"));
        (ending, took)
    }

    fn exchange(&mut self, request: &Request<'_>, sent: Instant) -> io::Result<u16> {
        request.send(&mut self.channel)?;
        let (id, length) = (request.id, request.body.len());
        self.record
            .line(&format!("caller sent {id}, a body of {length} bytes"));
        let head = self.channel.read_head(sent + PATIENCE)?;
        let head = head.ok_or(ErrorKind::UnexpectedEof)?;
        self.channel.read_body(&head, |latest| latest + PATIENCE)?;
        Ok(head.status())
    }
}

/// `memoryMb` of an `edge` machine. The platform kills a process that exceeds it.
const MEMORY_KIB: u64 = 260 * 1024;

/// Kills the gateway once its process holds more than the machine's memory, as the platform does.
pub fn enforce_memory(record: &Record, gateway: &Gateway, ended: &AtomicBool, highest: &AtomicU64) {
    while !ended.load(Ordering::Relaxed) {
        let used = gateway.memory_kb("VmRSS");
        highest.fetch_max(used, Ordering::Relaxed);
        if used > MEMORY_KIB {
            record.line(&format!(
                "the platform kills the gateway at {} MiB",
                used / 1024
            ));
            gateway.kill();
            return;
        }
        thread::sleep(Duration::from_millis(5));
    }
}
