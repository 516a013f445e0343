.PHONY: build demo test lint run

build:
	cargo build --release --locked

# Starts a whole tier on loopback addresses and shows what it does.
demo:
	cargo build --release --locked -p grebeusher-tier -p grebeusher-demo
	target/release/grebeusher-demo

test:
	cargo test --workspace --locked

lint:
	cargo fmt --all --check
	cargo clippy --workspace --all-targets --locked -- -D warnings
	RUSTDOCFLAGS="-D warnings" cargo doc --workspace --no-deps --locked

# Starts a node by the file that GW_CONFIG names.
run: build
	exec target/release/grebeusher
