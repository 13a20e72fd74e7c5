//! What proves that a response is whole.

use jujube_core::name::Service;
use jujube_core::pipeline::framing::Ended;
use jujube_core::pipeline::framing::Framing;
use jujube_core::pipeline::framing::Framings;
use jujube_core::pipeline::framing::Head;
use jujube_core::pipeline::framing::Unproven;

fn desk() -> Service {
    "desk".into()
}

fn unstated() -> Ended {
    Ended {
        status: 200,
        framing: Framing::Unstated,
        has_body: true,
    }
}

/// Guards against a body that is not decoded, or that a length beside codings seems to frame, being
/// taken for the server's.
#[test]
fn only_chunks_alone_frame_a_body_with_codings() {
    let of = |codings| {
        Framing::of(Head {
            status: 200,
            has_length: true,
            codings: Some(codings),
            ..Head::default()
        })
    };

    let stated = ["chunked", "Chunked", " chunked "].map(of);
    let coded = [
        "",
        "gzip",
        "identity",
        "chunked, gzip",
        "gzip, chunked",
        "chunked,chunked",
    ]
    .map(of);

    assert_eq!(stated, [Framing::Stated; 3]);
    assert_eq!(coded, [Framing::Coded; 6]);
}

/// Guards against responses without a body counting as cut.
#[test]
fn responses_without_a_body_need_no_length() {
    let head = Head::default();
    let framings = Framings::default();
    for head in [
        Head {
            status: 204,
            ..head
        },
        Head {
            status: 304,
            ..head
        },
        Head {
            status: 200,
            is_to_head: true,
            ..head
        },
    ] {
        let ended = Ended {
            status: head.status,
            framing: Framing::of(head),
            has_body: false,
        };
        assert_eq!(framings.check(&desk(), ended), Ok(()), "{head:?}");
    }
}

/// Guards against a service whose servers never state lengths losing its callers.
#[test]
fn service_without_lengths_is_served_until_one_is_stated() {
    let mut framings = Framings::default();
    framings.received(&desk(), 200, Framing::Unstated);
    framings.received(&desk(), 404, Framing::Stated);
    framings.received(&desk(), 204, Framing::Bodiless);
    framings.received(&"other".into(), 200, Framing::Stated);
    assert_eq!(framings.check(&desk(), unstated()), Ok(()));

    framings.received(&desk(), 200, Framing::Stated);

    assert_eq!(framings.check(&desk(), unstated()), Err(Unproven::Unusual));
}

/// Guards against what is known of services growing without bound.
#[test]
fn service_that_is_not_configured_is_forgotten() {
    let mut framings = Framings::default();
    framings.received(&desk(), 200, Framing::Stated);

    framings.retain(|service| *service != desk());

    assert_eq!(framings.check(&desk(), unstated()), Ok(()));
}

/// Guards against a failure of a server being replaced because its body may be cut.
#[test]
fn only_successes_have_to_be_whole() {
    let framings = Framings::default();
    for status in [199, 300, 404, 500] {
        let ended = Ended {
            status,
            framing: Framing::Coded,
            has_body: false,
        };
        assert_eq!(framings.check(&desk(), ended), Ok(()), "{status}");
    }
    for status in [200, 299] {
        let ended = Ended {
            status,
            framing: Framing::Coded,
            has_body: true,
        };
        assert_eq!(
            framings.check(&desk(), ended),
            Err(Unproven::Coded),
            "{status}"
        );
    }
}
