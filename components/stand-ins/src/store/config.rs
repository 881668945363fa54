//! The operator's configuration documents.

use serde_json::{Value, json};

use super::Store;

/// Connections that a back end takes if a test needs no other number.
const DEFAULT_CONNECTION_CAP: usize = 100;
/// Index of the service in the row of a route.
const SERVICE_COLUMN: usize = 7;

impl Store {
    /// Writes the configuration: the routes `list` and `order`, and one route per extra path.
    pub fn write_config(&self, version: u64, extra_paths: &[&str]) {
        self.write_capped_config(version, extra_paths, DEFAULT_CONNECTION_CAP);
    }

    /// Writes the configuration with limits on the bytes of a request's head and body.
    pub fn write_limited_config(
        &self,
        version: u64,
        extra_paths: &[&str],
        head_bytes: usize,
        body_bytes: u64,
    ) {
        let mut document = document(version, extra_paths, DEFAULT_CONNECTION_CAP);
        document["limits"] = json!({"headerBytes": head_bytes, "bodyBytes": body_bytes});
        self.write("config", "main", document);
    }

    /// Writes a configuration in which back ends take at most `cap` connections.
    pub fn write_capped_config(&self, version: u64, extra_paths: &[&str], cap: usize) {
        self.write("config", "main", document(version, extra_paths, cap));
    }

    /// Writes a configuration with one more route per path of `extra_paths`, in which routes have home
    /// regions: `homes` names them by route name, which is the path for an extra one.
    pub fn write_homes_config(
        &self,
        version: u64,
        extra_paths: &[&str],
        homes: &[(&str, &[&str])],
    ) {
        let mut document = document(version, extra_paths, DEFAULT_CONNECTION_CAP);
        let rows = document["routes"]["rows"].as_array_mut().expect("a list");
        for row in rows {
            let regions = homes.iter().find(|(name, _)| row[0] == *name);
            let row = row.as_array_mut().expect("a list");
            row.push(Value::Null);
            row.push(json!(regions.map(|(_, regions)| regions)));
        }
        self.write("config", "main", document);
    }

    /// Writes a configuration in which cold back ends of `orders` take `rate` requests a second.
    pub fn write_cold_config(&self, version: u64, extra_paths: &[&str], rate: f64) {
        let mut document = document(version, extra_paths, DEFAULT_CONNECTION_CAP);
        let services = &mut document["services"];
        let columns = services["columns"].as_array_mut().expect("a list");
        columns.push(json!("coldPerS"));
        for row in services["rows"].as_array_mut().expect("a list") {
            let is_limited = row[0] == "orders";
            let cell = if is_limited { json!(rate) } else { Value::Null };
            row.as_array_mut().expect("a list").push(cell);
        }
        self.write("config", "main", document);
    }

    /// Writes a configuration with one more route per path, which leads to `orders` with that weight.
    pub fn write_weighted_config(&self, version: u64, weighted_paths: &[(&str, f64)]) {
        let mut document = document(version, &[], DEFAULT_CONNECTION_CAP);
        let rows = document["routes"]["rows"].as_array_mut();
        rows.expect("a list")
            .extend(weighted_paths.iter().map(|(path, weight)| {
                let mut row = route(path, path, "safe", "orders", 2);
                row[SERVICE_COLUMN] = Value::Null;
                let split = json!([{"service": "orders", "weight": weight}]);
                row.as_array_mut().expect("a list").push(split);
                row
            }));
        self.write("config", "main", document);
    }
}

fn document(version: u64, extra_paths: &[&str], cap: usize) -> Value {
    let mut rows = vec![
        route("list", "/list/", "safe", "lists", 2),
        route("order", "/orders/", "unsafe", "orders", 1),
    ];
    rows.extend(
        extra_paths
            .iter()
            .map(|path| route(path, path, "safe", "orders", 2)),
    );
    json!({
        "version": version,
        "routes": {
            "columns": ["name", "host", "pathPrefix", "kind", "timeoutMs", "targetLatencyMs",
                "priority", "service", "attempts", "trafficSplit", "homeRegions"],
            "rows": rows
        },
        "services": {
            "columns": ["name", "healthCheckPath", "connectionCap", "sharded"],
            "rows": [["lists", "/health", cap, true], ["orders", "/health", cap, null]]
        }
    })
}

fn route(name: &str, path: &str, kind: &str, service: &str, attempts: u32) -> Value {
    json!([
        name,
        "h.example",
        path,
        kind,
        5000,
        1000,
        1,
        service,
        attempts
    ])
}
