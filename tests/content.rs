//! Data that entries fetch from each other.

use bytes::Bytes;
use chivebend::direct::content;

fn list() -> Bytes {
    let entry = |n: u32| {
        format!(
            r#"{{"id":"i-{n:08x}","service":"app","zone":"zone-{}"}}"#,
            n % 6
        )
    };
    let entries: Vec<String> = (0..1_000).map(entry).collect();
    entries.join(",").into()
}

#[test]
fn compressed_data_is_smaller_and_decompresses_to_the_same() {
    let sent = content::Content::from(list());
    let compressed = sent.compressed().clone();
    println!("{} bytes instead of {}", compressed.len(), list().len());
    assert!(compressed.len() * 3 < list().len());
    let received = content::Content::decompress(compressed.clone(), 1 << 20).expect("well-formed");
    assert_eq!(received.plain(), &list());
    // The received form is forwarded as it is.
    assert_eq!(received.compressed().as_ptr(), compressed.as_ptr());
}

#[test]
fn malformed_or_oversized_data_is_refused() {
    let compressed = content::Content::from(list()).compressed().clone();
    let refused = [
        ("empty", Bytes::new(), 1 << 20),
        ("cut", compressed.slice(..compressed.len() / 2), 1 << 20),
        ("not compressed", list(), 1 << 20),
        ("over the bound", compressed, 1_000),
        (
            "claims to be huge",
            Bytes::from_static(&[0xff; 64]),
            1 << 20,
        ),
    ];
    for (name, bytes, max) in refused {
        assert!(content::Content::decompress(bytes, max).is_none(), "{name}");
    }
}
