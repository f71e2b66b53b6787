//! Exit codes and output of `dandeliondeal replay`.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

fn trace_folder() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../traces")
}

fn replay(paths: &[PathBuf]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_dandeliondeal"))
        .arg("replay")
        .args(paths)
        .output()
        .unwrap()
}

#[test]
fn exit_codes() {
    let good = trace_folder().join("stage-death.jsonl");
    assert_eq!(replay(std::slice::from_ref(&good)).status.code(), Some(0));

    let text = std::fs::read_to_string(&good).unwrap();
    let wrong = std::env::temp_dir().join(format!("wrong-trace-{}.jsonl", std::process::id()));
    std::fs::write(&wrong, text.replace("\"answered\"", "\"not-run\"")).unwrap();
    let output = replay(&[good, wrong.clone()]);
    std::fs::remove_file(&wrong).unwrap();
    assert_eq!(output.status.code(), Some(1));
    assert!(
        String::from_utf8(output.stdout)
            .unwrap()
            .contains("MISMATCH")
    );

    let folder_log = Command::new(env!("CARGO_BIN_EXE_dandeliondeal"))
        .args(["replay", "--log", env!("CARGO_MANIFEST_DIR")])
        .output()
        .unwrap();
    assert_eq!(folder_log.status.code(), Some(2));

    let missing = replay(&[trace_folder().join("no-such-file")]);
    assert_eq!(missing.status.code(), Some(2));
    assert_eq!(replay(&[]).status.code(), Some(2));
}
