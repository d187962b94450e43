//! Tests of the addresses of entries.

use super::{Members, parse_addresses};

/// Guards against an odd address that hides the others, and against one at which no entry can be.
#[test]
fn odd_addresses_are_skipped() {
    let deep = "[".repeat(5000);
    let odd = [
        "10.0.0.1:99999",
        "10.0.0.1:-1",
        "10.0.0.1:18446744073709551616",
        "10.0.0.1:0",
        "10.0.0.1",
        "10.0.0.256:7720",
        "0.0.0.0:7720",
        "255.255.255.255:7720",
        "224.0.0.1:7720",
        "[::]:7720",
        "{\"address\":7}",
        "\u{fffd}",
        "",
        &deep,
    ];
    for odd in odd {
        let parsed = parse_addresses(["10.0.0.1:7720", odd, "10.0.0.2:7720"]);
        let texts: Vec<String> = parsed.iter().map(ToString::to_string).collect();
        assert_eq!(texts, ["10.0.0.1:7720", "10.0.0.2:7720"], "{odd:.60}");
        let members = Members::new(&[]);
        assert_eq!(members.add(parsed).len(), 2);
    }
}
