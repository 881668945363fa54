//! A process that says late who it is.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::mpsc;
use std::time::Duration;

use bytes::BytesMut;
use node::frame::{self, Frame, NodeStatus};
use world::name::{MachineName, RegionName, ServiceName, ZoneName};

/// Accepts connections and says who it is only after `delay`.
///
/// Returns the names of the machines that have told it of a back end that takes requests, and
/// "assignment" for each word of an assignment.
pub(crate) fn listen(address: SocketAddr, delay: Duration) -> mpsc::Receiver<String> {
    let listener = TcpListener::bind(address).expect("a free address");
    let (sender, receiver) = mpsc::channel();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let sender = sender.clone();
            std::thread::spawn(move || {
                std::thread::sleep(delay);
                let hello = Frame::Hello(Box::new(member(address)));
                let bytes = frame::encode(&hello).expect("a short frame");
                stream.write_all(&bytes).expect("an open connection");
                let mut buf = BytesMut::new();
                let mut chunk = [0; 4_096];
                while let Ok(count @ 1..) = stream.read(&mut chunk) {
                    buf.extend_from_slice(&chunk[..count]);
                    while let Ok(Some(frame)) = frame::decode(&mut buf) {
                        let told = match frame {
                            Frame::Hello(m) if m.back_end.is_some() => m.machine.to_string(),
                            Frame::Assignment { .. } | Frame::AssignmentChange { .. } => {
                                "assignment".to_owned()
                            }
                            _ => continue,
                        };
                        let _ = sender.send(told);
                    }
                }
            });
        }
    });
    receiver
}

fn member(address: SocketAddr) -> NodeStatus {
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
        catalog_revision: 0,
        store_reachable: true,
        leaving: false,
        utilization_eighths: 0,
    }
}
