//! What proves that a response is whole.

use jujube_core::name::Service;
use jujube_core::pipeline::framing::Ended;
use jujube_core::pipeline::framing::Framing;
use jujube_core::pipeline::framing::Framings;
use jujube_core::pipeline::framing::Head;
use jujube_core::pipeline::framing::Sender;
use jujube_core::pipeline::framing::Unproven;
use jujube_core::pipeline::server::Incarnation;

fn desk() -> Service {
    "desk".into()
}

fn server(name: &str) -> Incarnation {
    name.into()
}

/// Records a response of a server of the desk.
fn received(framings: &mut Framings, name: &str, status: u16, framing: Framing) {
    let (service, server) = (desk(), server(name));
    let sender = Sender {
        service: &service,
        server: Some(&server),
    };
    framings.received(sender, status, framing);
}

/// Checks a response of a server of the desk.
fn check(framings: &mut Framings, name: &str, ended: Ended) -> Result<(), Unproven> {
    let (service, server) = (desk(), server(name));
    let sender = Sender {
        service: &service,
        server: Some(&server),
    };
    framings.check(sender, ended)
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
    let mut framings = Framings::default();
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
        assert_eq!(check(&mut framings, "s0", ended), Ok(()), "{head:?}");
    }
}

/// Guards against a service whose servers never state lengths losing its callers.
#[test]
fn service_without_lengths_is_served_until_one_is_stated() {
    let mut framings = Framings::default();
    received(&mut framings, "s0", 200, Framing::Unstated);
    received(&mut framings, "s0", 404, Framing::Stated);
    received(&mut framings, "s0", 204, Framing::Bodiless);
    let (other, s1) = ("other".into(), server("s1"));
    let sender = Sender {
        service: &other,
        server: Some(&s1),
    };
    framings.received(sender, 200, Framing::Stated);
    assert_eq!(check(&mut framings, "s0", unstated()), Ok(()));

    received(&mut framings, "s0", 200, Framing::Stated);

    assert_eq!(
        check(&mut framings, "s0", unstated()),
        Err(Unproven::Unusual)
    );
}

/// Guards against what is known of services growing without bound.
#[test]
fn service_that_is_not_configured_is_forgotten() {
    let mut framings = Framings::default();
    received(&mut framings, "s0", 200, Framing::Stated);

    framings.retain(|service| *service != desk(), |_| true);

    assert_eq!(check(&mut framings, "s0", unstated()), Ok(()));
}

/// Guards against a failure of a server being replaced because its body may be cut.
#[test]
fn only_successes_have_to_be_whole() {
    let mut framings = Framings::default();
    for status in [199, 300, 404, 500] {
        let ended = Ended {
            status,
            framing: Framing::Coded,
            has_body: false,
        };
        assert_eq!(check(&mut framings, "s0", ended), Ok(()), "{status}");
    }
    for status in [200, 299] {
        let ended = Ended {
            status,
            framing: Framing::Coded,
            has_body: true,
        };
        assert_eq!(
            check(&mut framings, "s0", ended),
            Err(Unproven::Coded),
            "{status}"
        );
    }
}

/// Guards against a service being lost to its callers once a release brings servers that state no lengths.
#[test]
fn servers_of_a_release_without_lengths_are_served() {
    let mut framings = Framings::default();
    received(&mut framings, "old", 200, Framing::Stated);

    let lost = |framings: &mut Framings, name: &str| {
        let results = (0..10).map(|_| check(framings, name, unstated()));
        results.filter(Result::is_err).count()
    };

    // The first of them is one of its kind for as long as the others were not asked.
    assert_eq!(lost(&mut framings, "new-1"), 8);
    assert_eq!(lost(&mut framings, "new-2"), 2);
    assert_eq!(lost(&mut framings, "new-3"), 2);
}

/// Guards against a cut response counting as whole because its server cuts most of them.
#[test]
fn server_that_has_stated_a_length_is_never_excused() {
    let mut framings = Framings::default();
    received(&mut framings, "sound", 200, Framing::Stated);
    for name in ["faulty-1", "faulty-2"] {
        received(&mut framings, name, 200, Framing::Stated);
    }

    for _ in 0..100 {
        for name in ["faulty-1", "faulty-2"] {
            let checked = check(&mut framings, name, unstated());
            assert_eq!(checked, Err(Unproven::Unusual));
        }
    }
}

/// Guards against what is known of servers growing with all that ever were.
#[test]
fn servers_that_are_gone_are_forgotten() {
    let mut framings = Framings::default();
    received(&mut framings, "old", 200, Framing::Stated);
    for name in ["new-1", "new-2"] {
        for _ in 0..2 {
            assert!(check(&mut framings, name, unstated()).is_err());
        }
    }

    framings.retain(|_| true, |server| *server == "new-1".into());

    assert_eq!(
        check(&mut framings, "new-1", unstated()),
        Err(Unproven::Unusual)
    );
}
