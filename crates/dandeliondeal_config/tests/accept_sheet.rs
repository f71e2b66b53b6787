//! Tests of accepting sheets with concurrent operators, lost responses and faults of the store.

mod common;

use common::{SeededStore, request_of, run_paused, sheet_with};
use dandeliondeal_config::{AcceptError, AcceptReport, ChangeVerdict, SheetRows, verify_trail};
use dandeliondeal_store::StoreFault;
use futures_util::future::join_all;

/// Checks that history and audit trail agree with the results that the operators received.
async fn check_results(
    store: &SeededStore,
    results: &[(String, Result<AcceptReport, AcceptError>)],
) {
    store.memory.apply_late_writes();
    store.memory.add_faults([]);
    let history = store.session().load_history(1_000).await.unwrap();
    let revisions: Vec<u64> = history.iter().map(|manifest| manifest.revision).collect();
    let expected: Vec<u64> = (1..=history.len() as u64).rev().collect();
    assert_eq!(revisions, expected);
    let trail = store.session().read_trail().await.unwrap();
    verify_trail(&trail).unwrap();
    let entries: Vec<_> = trail.iter().flat_map(|segment| &segment.records).collect();
    for manifest in &history {
        let count = entries
            .iter()
            .filter(|record| record.entry.change == manifest.change)
            .filter(|record| record.entry.verdict == ChangeVerdict::Accepted)
            .count();
        assert_eq!(count, 1, "{} in the trail", manifest.change);
    }
    for (change, result) in results {
        let applied = history.iter().find(|manifest| *manifest.change == **change);
        match result {
            Ok(report) if report.changes.is_empty() => assert!(applied.is_none()),
            Ok(report) => assert_eq!(applied.unwrap().revision, report.revision),
            Err(error) if error.is_unknown() => {}
            Err(error) => assert!(applied.is_none(), "{change} was applied after: {error}"),
        }
    }
}

#[test]
fn lost_answers() {
    for fault in [
        StoreFault::Refused,
        StoreFault::AnswerLost,
        StoreFault::CallLost,
        StoreFault::Late,
    ] {
        for position in 0..60 {
            run_paused(async {
                let store = SeededStore::new(position as u64, 0);
                let request = request_of("nino", 0);
                store
                    .session()
                    .accept_sheet(&sheet_with(16), &request)
                    .await
                    .unwrap();
                let mut faults = vec![StoreFault::None; position];
                faults.push(fault);
                store.memory.add_faults(faults);
                let request = request_of("nino", 1);
                let result = store
                    .session()
                    .accept_sheet(&sheet_with(17), &request)
                    .await;
                store.memory.add_faults(vec![StoreFault::None; 0]);
                check_results(&store, &[("nino-1".to_owned(), result)]).await;
            });
        }
    }
}

#[test]
fn racing_operators() {
    for seed in 0..150 {
        println!("seed {seed}");
        run_paused(async {
            let store = SeededStore::new(seed, if seed % 2 == 0 { 0 } else { 15 });
            let operators = ["nino", "davit", "lali"];
            let tasks = operators.iter().enumerate().map(|(index, author)| {
                let store = store.clone();
                async move {
                    let mut results = Vec::new();
                    for number in 0..4_u32 {
                        let rows = sheet_with(20 + 10 * u32::try_from(index).unwrap() + number);
                        let request = request_of(author, number);
                        let result = store.session().accept_sheet(&rows, &request).await;
                        results.push((request.change.to_string(), result));
                    }
                    results
                }
            });
            let results: Vec<_> = join_all(tasks).await.into_iter().flatten().collect();
            assert!(results.iter().any(|(_, result)| result.is_ok()));
            check_results(&store, &results).await;
        });
    }
}

#[test]
fn conflict_report() {
    run_paused(async {
        let store = SeededStore::new(1, 0);
        for (author, capacity) in [("nino", 16), ("lali", 17), ("nino", 18)] {
            let request = request_of(author, capacity);
            let rows = sheet_with(capacity);
            store.session().accept_sheet(&rows, &request).await.unwrap();
        }
        let mut request = request_of("davit", 1);
        request.base = Some(1);
        let result = store
            .session()
            .accept_sheet(&sheet_with(19), &request)
            .await;
        let Err(AcceptError::Conflict {
            revision,
            author,
            changes,
        }) = result
        else {
            panic!("{result:?}");
        };
        assert_eq!((revision, &*author), (3, "nino"));
        let changes: Vec<String> = changes.iter().map(ToString::to_string).collect();
        assert_eq!(changes, ["endpoint engine-1 capacity: 16 -> 18"]);
    });
}

#[test]
fn refused_changes() {
    run_paused(async {
        let store = SeededStore::new(1, 0);
        let session = store.session();
        session
            .accept_sheet(&sheet_with(16), &request_of("nino", 1))
            .await
            .unwrap();
        let error = session
            .accept_sheet(&sheet_with(0), &request_of("nino", 2))
            .await
            .unwrap_err();
        assert!(error.is_invalid_sheet());
        let mut smaller = sheet_with(16);
        smaller
            .rows
            .retain(|key, _| &*key.name != "order-desk" && &*key.name != "orders-1");
        let error = session
            .accept_sheet(&smaller, &request_of("nino", 3))
            .await
            .unwrap_err();
        assert!(matches!(error, AcceptError::Removal { .. }));
        let mut request = request_of("nino", 4);
        request.allow_removals = true;
        assert_eq!(
            session
                .accept_sheet(&smaller, &request)
                .await
                .unwrap()
                .revision,
            2
        );
        let trail = session.read_trail().await.unwrap();
        let verdicts: Vec<_> = trail[0]
            .records
            .iter()
            .map(|record| record.entry.verdict)
            .collect();
        let refused = ChangeVerdict::Refused;
        assert_eq!(
            verdicts,
            [
                ChangeVerdict::Accepted,
                refused,
                refused,
                ChangeVerdict::Accepted
            ]
        );
    });
}

#[test]
fn unchanged_sheet() {
    run_paused(async {
        let store = SeededStore::new(1, 0);
        let session = store.session();
        session
            .accept_sheet(&sheet_with(16), &request_of("nino", 1))
            .await
            .unwrap();
        let report = session
            .accept_sheet(&sheet_with(16), &request_of("nino", 2))
            .await
            .unwrap();
        assert_eq!((report.revision, report.changes.len()), (1, 0));
        let writes = store.memory.writes();
        let report = session
            .accept_sheet(&sheet_with(17), &request_of("nino", 3))
            .await
            .unwrap();
        assert_eq!(report.changes.len(), 1);
        // The writes are one chunk, the manifest, the head and the audit trail.
        assert_eq!(store.memory.writes() - writes, 4);
        let stored = session.load_sheet().await.unwrap();
        assert_eq!(stored.rows, sheet_with(17));
        assert_ne!(stored.rows, SheetRows::default());
    });
}
