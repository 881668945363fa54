//! A stand-in for a peer that sends its `Hello` frame late.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::mpsc;
use std::time::Duration;

use bytes::BytesMut;
use node::frame::{self, Features, Frame, NodeStatus};
use world::name::{MachineName, RegionName, ServiceName, ZoneName};

/// Accepts connections and sends `Hello` on each only after `delay`.
///
/// The receiver gets the machine's name for each received `Hello` with a back end that takes
/// requests, and "assignment" for each frame with an assignment or a change of one.
pub(crate) fn listen(address: SocketAddr, delay: Duration) -> mpsc::Receiver<String> {
    let listener = TcpListener::bind(address).expect("a free address");
    let (sender, receiver) = mpsc::channel();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let sender = sender.clone();
            std::thread::spawn(move || {
                std::thread::sleep(delay);
                let hello = Frame::Hello(Box::new(status(address)));
                let bytes = frame::encode(&hello).expect("a short frame");
                stream.write_all(&bytes).expect("an open connection");
                let mut buf = BytesMut::new();
                let mut chunk = [0; 4_096];
                while let Ok(count @ 1..) = stream.read(&mut chunk) {
                    buf.extend_from_slice(&chunk[..count]);
                    while let Ok(Some(frame)) = frame::decode(&mut buf) {
                        let item = match frame {
                            Frame::Hello(status) if status.back_end.is_some() => {
                                status.machine.to_string()
                            }
                            Frame::Assignment { .. } | Frame::AssignmentChange { .. } => {
                                "assignment".to_owned()
                            }
                            _ => continue,
                        };
                        let _ = sender.send(item);
                    }
                }
            });
        }
    });
    receiver
}

/// Returns the status of the peer.
pub(crate) fn status(address: SocketAddr) -> NodeStatus {
    NodeStatus {
        machine: MachineName::new("slow"),
        region: RegionName::new("r"),
        zone: ZoneName::new("z"),
        service: ServiceName::new("other"),
        address,
        incarnation: 7,
        version: 1,
        back_end: None,
        lease: None,
        catalog_version: 0,
        store_reachable: true,
        leaving: false,
        utilization_eighths: 0,
        features: Features::default(),
    }
}
