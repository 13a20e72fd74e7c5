//! Accepting connections for the two services.

use std::future::Future;
use std::time::Duration;

use jujube_program::shutdown::Signal;
use tarpc::server::BaseChannel;
use tarpc::tokio_serde::formats::Bincode;
use tarpc::tokio_util::codec::LengthDelimitedCodec;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

/// A server's end of a connection.
pub type Channel<Req, Resp> = BaseChannel<
    Req,
    Resp,
    tarpc::serde_transport::Transport<
        TcpStream,
        tarpc::ClientMessage<Req>,
        tarpc::Response<Resp>,
        Bincode<tarpc::ClientMessage<Req>, tarpc::Response<Resp>>,
    >,
>;

/// Returns the server's end of a connected stream.
pub fn channel<Req, Resp>(stream: TcpStream) -> Channel<Req, Resp>
where
    Req: serde::de::DeserializeOwned,
    Resp: serde::Serialize,
{
    let framed = LengthDelimitedCodec::builder().new_framed(stream);
    let transport = tarpc::serde_transport::new(framed, Bincode::default());
    BaseChannel::with_defaults(transport)
}

/// Handles every connection until told to stop; connections then close.
pub async fn accept<H, F>(listener: TcpListener, mut stop: Signal, handle: H)
where
    H: Fn(TcpStream) -> F,
    F: Future<Output = ()> + Send + 'static,
{
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.stopped() => return,
        };
        let Ok((stream, _)) = accepted else {
            // Too many open files: without the pause this loop would take a core.
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        let _best_effort = stream.set_nodelay(true);
        let handled = handle(stream);
        let mut stop = stop.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = handled => {}
                () = stop.stopped() => {}
            }
        });
    }
}
