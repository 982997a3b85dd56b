//! Large values are sent between processes as differences from earlier ones.

use bytes::Bytes;
use chervilquay::direct::wire::Datagram;
use chervilquay::direct::wire::DeltaDoc;
use chervilquay::error::Code;
use chervilquay::table::packing::Packer;
use chervilquay::table::replica::Delta;
use chervilquay::table::replica::Doc;
use chervilquay::table::replica::Replica;
use chervilquay::time::Millis;
use prost::Message;

/// Parts of a document.
const PARTS: usize = 2_000;

/// Most bytes of changes in a datagram.
const MAX_PUSHED: usize = 1_000;

/// Returns a part of a document, which nothing can predict.
fn part(rng: &mut fastrand::Rng) -> String {
    format!("{:x}", rng.u128(..))
}

fn write(key: &str, revision: u64, value: &str) -> Delta {
    Delta {
        era: 0,
        full: false,
        upto: revision,
        docs: vec![Doc {
            key: key.into(),
            revision,
            value: Some(Bytes::copy_from_slice(value.as_bytes())),
        }],
    }
}

/// Returns the changes after a revision, as a sender packs them.
fn changes(sender: &Replica, packer: &mut Packer, after: u64) -> DeltaDoc {
    let delta = sender.since(after);
    let mut doc = DeltaDoc::new(delta.clone(), Millis(0));
    doc.pack(&delta, after, sender, packer);
    doc
}

fn value<'a>(replica: &'a Replica, key: &str) -> Option<&'a Bytes> {
    replica.get(key).and_then(|doc| doc.value.as_ref())
}

/// Guards against a receiver that ends with another document than the sender, whatever it
/// has missed, and against changes that do not fit in a datagram.
#[test]
fn receivers_get_the_same_document() {
    let mut rng = fastrand::Rng::with_seed(3);
    let mut parts: Vec<String> = (0..PARTS).map(|_| part(&mut rng)).collect();
    let mut sender = Replica::default();
    let mut packer = Packer::default();
    let mut receivers = vec![Replica::default(); 6];
    for revision in 1..40 {
        let index = rng.usize(..PARTS);
        parts[index] = part(&mut rng);
        sender.apply(write("large", revision, &parts.join(" ")));
        let first = receivers[0].revision();
        for (index, receiver) in receivers.iter_mut().enumerate() {
            // The first gets each change; the others miss some in a row.
            if index > 0 && rng.usize(..10) < index + 2 {
                continue;
            }
            let after = receiver.revision();
            let mut doc = changes(&sender, &mut packer, after);
            if after > 0 && after == first {
                assert!(doc.encoded_len() <= MAX_PUSHED, "{}", doc.encoded_len());
            }
            if doc.unpack(receiver).is_err() {
                // What the sender packed against is missing here.
                doc = changes(&sender, &mut packer, 0);
                doc.unpack(receiver).expect("a whole document");
            }
            receiver.apply(doc.into_delta());
            assert_eq!(value(receiver, "large"), value(&sender, "large"));
        }
    }
}

/// Guards against a packed value that is taken for a removal, by a release that does not
/// know packed values or when its base is missing.
#[test]
fn packed_value_is_no_removal() {
    let mut rng = fastrand::Rng::with_seed(4);
    let text: String = (0..PARTS).map(|_| part(&mut rng)).collect();
    let mut sender = Replica::default();
    sender.apply(write("large", 1, &text));
    sender.apply(write("large", 2, &format!("{text}.")));
    let doc = changes(&sender, &mut Packer::default(), 1);
    let mut datagram = Datagram::default();
    datagram.set_changes(Some(doc.clone()), 1);
    assert!(datagram.changes.is_none() && datagram.packed.is_some());

    let mut other = Replica::default();
    other.apply(write("large", 1, "another value of the same revision"));
    let mut damaged = doc.clone();
    let error = damaged.unpack(&other).expect_err("another base");
    assert_eq!(error.code, Code::ProtocolInvalid);
    let mut without = doc;
    let error = without.unpack(&Replica::default()).expect_err("no base");
    assert_eq!(error.code, Code::ProtocolInvalid);
}
