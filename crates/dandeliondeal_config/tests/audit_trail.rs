//! Tests of the audit trail: concurrent appends, alterations and a crash of the author.

mod common;

use common::{SeededStore, request_of, run_paused, sheet_with};
use dandeliondeal_config::{AuditError, AuditSegment, ChangeEntry, verify_trail};
use futures_util::future::{join_all, select};
use std::time::Duration;

fn entry_of(author: &str, number: u32) -> ChangeEntry {
    let request = request_of(author, number);
    ChangeEntry {
        change: request.change,
        author: request.author,
        at_milliseconds: 0,
        verdict: dandeliondeal_config::ChangeVerdict::Refused,
        from: 0,
        to: 0,
        summary: "x".repeat(8_000).into(),
        changes: Vec::new(),
    }
}

#[test]
fn closed_segments() {
    for seed in 0..20 {
        println!("seed {seed}");
        let trail: Vec<AuditSegment> = run_paused(async {
            let store = SeededStore::new(seed, 10);
            let writers = ["nino", "davit", "lali"].map(|author| {
                let store = store.clone();
                async move {
                    for number in 0..10 {
                        store
                            .session()
                            .append_entry(entry_of(author, number))
                            .await
                            .unwrap();
                    }
                }
            });
            join_all(writers).await;
            store.memory.apply_late_writes();
            store.session().read_trail().await.unwrap()
        });
        verify_trail(&trail).unwrap();
        assert!(trail.len() > 2);
        let count: usize = trail.iter().map(|segment| segment.records.len()).sum();
        assert_eq!(count, 30);
    }
}

#[test]
fn altered_trail() {
    let mut trail = run_paused(async {
        let store = SeededStore::new(1, 0);
        for number in 0..5 {
            let request = request_of("nino", number);
            store
                .session()
                .accept_sheet(&sheet_with(20 + number), &request)
                .await
                .unwrap();
        }
        store.session().read_trail().await.unwrap()
    });
    verify_trail(&trail).unwrap();
    let unaltered = trail.clone();
    trail[0].records[2].entry.author = "davit".into();
    assert!(matches!(
        verify_trail(&trail),
        Err(AuditError::Entry { .. })
    ));
    let mut shorter = unaltered;
    shorter[0].records.remove(1);
    assert!(verify_trail(&shorter).is_err());
}

#[test]
fn author_crash() {
    for seed in 0..40 {
        println!("seed {seed}");
        run_paused(async {
            let store = SeededStore::new(seed, 0);
            let session = store.session();
            let (rows, request) = (sheet_with(16), request_of("nino", 1));
            let accept = std::pin::pin!(session.accept_sheet(&rows, &request));
            let written = std::pin::pin!(async {
                while store.memory.peek("config/head").is_none() {
                    tokio::time::sleep(Duration::from_millis(1)).await;
                }
            });
            // The author's process crashes as soon as the head is written.
            drop(select(accept, written).await);
            let next_request = request_of("davit", 1);
            session
                .accept_sheet(&sheet_with(17), &next_request)
                .await
                .unwrap();
            let trail = session.read_trail().await.unwrap();
            let authors: Vec<_> = trail[0]
                .records
                .iter()
                .map(|record| &*record.entry.author)
                .collect();
            assert_eq!(authors, ["nino", "davit"]);
        });
    }
}
