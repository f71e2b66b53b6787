//! Two instances claim the same idempotency key, and the request runs only once.

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
        fingerprint: RequestFingerprint::from_parts([content.as_bytes()]),
        request: request.into(),
        candidates: Vec::new(),
    };
    ShardTask::Claim(record, ClaimOrigin::Local)
}

/// Performs the store calls that a writer requests for a task, and returns its reply.
///
/// The writer is a state machine, which performs no input or output itself.
fn run_task(store: &MemoryStore, writer: &mut ShardWriter, task: ShardTask) -> Option<ShardReply> {
    let (ticket, now) = (1, Instant::now());
    let mut next_event = Some(ShardEvent::Submit {
        ticket,
        task,
        deadline: now + Duration::from_secs(1),
    });
    while let Some(event) = next_event.take() {
        for action in writer.handle(event, now) {
            next_event = match action {
                ShardAction::Get(name) => Some(ShardEvent::Read(store.get_now(&name))),
                ShardAction::List(prefix) => Some(ShardEvent::Listed(store.list_now(&prefix))),
                ShardAction::Put(write) => {
                    let result = store.put_now(&write.name, write.condition, write.body);
                    Some(ShardEvent::Written(result))
                }
                ShardAction::Reply(_, reply) => return Some(reply),
                // No store call fails in this example, so that no timer or clean-up is needed.
                ShardAction::Wake(_) | ShardAction::Delete(..) => next_event,
            };
        }
    }
    None
}

fn main() -> Result<(), Box<dyn Error>> {
    let store = MemoryStore::default();
    let (mut first, mut second) = (writer("entry-1"), writer("entry-2"));
    let reply = run_task(&store, &mut first, claim("r1", "pay 5"));
    println!("r1 at entry-1: {:?}", reply.ok_or("no reply")?);
    // The caller's connection broke, and the caller retries at another instance. The payment must
    // not run twice.
    let reply = run_task(&store, &mut second, claim("r2", "pay 5"));
    let is_repeat = matches!(reply, Some(ShardReply::Repeat(_)));
    println!("r2 at entry-2 is a repeat: {is_repeat}");
    let reply = run_task(&store, &mut second, claim("r3", "pay 9"));
    println!("r3 with other content: {:?}", reply.ok_or("no reply")?);
    Ok(())
}
