//! Prints how long it takes to read a configuration, to build its route table, to hash its body and to look up a route,
//! for several numbers of routes. Build it with `--release`.

use std::hint::black_box;
use std::sync::Arc;
use std::time::Instant;

use grebeusher_configuration::configuration::Configuration;
use grebeusher_configuration::register::BodyHash;
use grebeusher_configuration::routes::RouteTable;

const LOOKUPS: usize = 100_000;

fn main() {
    println!("routes     kB   read ms  table ms  hash ms  look-up ns");
    for count in [10, 100, 1000, 5000, 12_000] {
        measure(count);
    }
}

fn measure(count: usize) {
    let body = body(count);
    let start = Instant::now();
    let Ok(configuration) = Configuration::read(body.as_bytes()) else { return println!("{count}: invalid") };
    let read_time = start.elapsed();

    let start = Instant::now();
    let table = RouteTable::new(Arc::new(configuration));
    let table_time = start.elapsed();

    let start = Instant::now();
    black_box(BodyHash::of(body.as_bytes()));
    let hash_time = start.elapsed();

    let paths: Vec<String> = (0..count).map(|index| format!("/place{index}/x?q=1")).collect();
    let start = Instant::now();
    for lookup in 0..LOOKUPS {
        let index = lookup % count;
        black_box(table.find(HOSTS[index % HOSTS.len()], &paths[index]));
    }
    let lookup_ns = start.elapsed().as_nanos() / LOOKUPS as u128;

    let kilobytes = body.len() / 1024;
    let [read_ms, table_ms, hash_ms] =
        [read_time, table_time, hash_time].map(|time| time.as_secs_f64() * 1e3);
    println!("{count:6} {kilobytes:6} {read_ms:9.2} {table_ms:9.2} {hash_ms:8.3} {lookup_ns:11}");
}

const HOSTS: [&str; 3] = ["one.example", "two.example", "three.example"];

fn body(count: usize) -> String {
    let routes: Vec<String> = (0..count).map(route).collect();
    format!(
        r#"{{"config_version":9,"route_table":[{}],"service_list":[{{"name":"alpha"}},{{"name":"beta"}}]}}"#,
        routes.join(",")
    )
}

fn route(index: usize) -> String {
    format!(
        r#"{{"name":"r-{index}","hostname":"{}","path_prefix":"/place{index}/","route_type":"streaming","timeout_ms":3000,"target_latency_ms":300,"priority_level":0,"traffic_split":[{{"service":"alpha","split_weight":90}},{{"service":"beta","split_weight":10}}],"max_attempts":2,"session_affinity":true,"resumable":true,"gap_aim_ms":250}}"#,
        HOSTS[index % HOSTS.len()]
    )
}
