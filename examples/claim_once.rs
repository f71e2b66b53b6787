//! Two instances claim one idempotency key; the request runs once.

use std::error::Error;
use std::time::{Duration, Instant};

use dandeliondeal::claim::{
    ClaimKey, ClaimOrigin, ClaimRecord, ClaimSettings, RequestFingerprint, ShardAction, ShardEvent,
    ShardReply, ShardTask, ShardWriter,
};
use dandeliondeal::store::MemoryStore;

fn writer(instance: &str) -> ShardWriter {
    let settings = ClaimSettings {
        instance: instance.into(),
        ..ClaimSettings::default()
    };
    ShardWriter::new(0, settings)
}

fn claim(request: &str, content: &str) -> ShardTask {
    let (organisation, key) = ("guild".into(), "deposit-7".into());
    let record = ClaimRecord {
        key: ClaimKey { organisation, key },
        fingerprint: RequestFingerprint::of([content.as_bytes()]),
        request: request.into(),
        candidates: Vec::new(),
    };
    ShardTask::Claim(record, ClaimOrigin::Local)
}

/// Runs a writer on a store, and returns its reply; the writer itself calls nothing.
fn run(store: &MemoryStore, writer: &mut ShardWriter, task: ShardTask) -> Option<ShardReply> {
    let (ticket, now) = (1, Instant::now());
    let mut next = Some(ShardEvent::Submit {
        ticket,
        task,
        deadline: now + Duration::from_secs(1),
    });
    while let Some(event) = next.take() {
        for action in writer.handle(event, now) {
            next = match action {
                ShardAction::Get(name) => Some(ShardEvent::Read(store.get_now(&name))),
                ShardAction::List(prefix) => Some(ShardEvent::Listed(store.list_now(&prefix))),
                ShardAction::Put(write) => {
                    let result = store.put_now(&write.name, write.condition, write.body);
                    Some(ShardEvent::Written(result))
                }
                ShardAction::Reply(_, reply) => return Some(reply),
                // Nothing fails here, so that there is nothing to wait for or to tidy up.
                ShardAction::Wake(_) | ShardAction::Delete(..) => next,
            };
        }
    }
    None
}

fn main() -> Result<(), Box<dyn Error>> {
    let store = MemoryStore::default();
    let (mut first, mut second) = (writer("entry-1"), writer("entry-2"));
    let reply = run(&store, &mut first, claim("r1", "pay 5"));
    println!("r1 at entry-1: {:?}", reply.ok_or("no reply")?);
    // The caller's connection broke and it tries again elsewhere: it must not pay twice.
    let reply = run(&store, &mut second, claim("r2", "pay 5"));
    let is_repeat = matches!(reply, Some(ShardReply::Repeat(_)));
    println!("r2 at entry-2 is a repeat: {is_repeat}");
    let reply = run(&store, &mut second, claim("r3", "pay 9"));
    println!("r3 with other content: {:?}", reply.ok_or("no reply")?);
    Ok(())
}
