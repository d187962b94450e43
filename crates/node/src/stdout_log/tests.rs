//! Tests of the length of lines.

use super::{MAX_LINE_BYTES, bounded};

#[test]
fn a_line_is_cut_at_its_limit() {
    struct Case {
        line: String,
        cut: bool,
    }
    let cases = [
        Case { line: "short\n".into(), cut: false },
        Case { line: "x".repeat(MAX_LINE_BYTES), cut: false },
        Case { line: "x".repeat(MAX_LINE_BYTES + 1), cut: true },
        Case { line: "\u{e9}".repeat(16 << 10), cut: true },
    ];
    for case in cases {
        let found = bounded(case.line.clone());
        assert!(found.len() <= MAX_LINE_BYTES && found.capacity() <= 2 * MAX_LINE_BYTES);
        assert_eq!(found.ends_with(" [cut]\n"), case.cut);
        assert_eq!(found == case.line, !case.cut);
    }
}
