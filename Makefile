CARGO ?= cargo

.PHONY: all build test demo check clean

all: build

# nng's C library is built from source by its crate, which needs cmake.
cmake:
	@command -v cmake >/dev/null || { apt-get update -qq && apt-get install -y -qq cmake; }

build: cmake
	$(CARGO) build --workspace

test: build
	$(CARGO) test --workspace $(TEST_ARGS)

check:
	$(CARGO) fmt --all -- --check
	$(CARGO) clippy --workspace --all-targets -- -D warnings

demo: build
	bash demo/run

clean:
	$(CARGO) clean
