BUILD ?= build
ESTATE ?= sofia
SEED ?= 1
DURATION_S ?= 60
BENCH ?= all

.PHONY: setup build check demo bench soak format lint

setup:
	@scripts/install-packages.sh

build: setup
	@cmake -S . -B $(BUILD) -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
	@cmake --build $(BUILD)

check: build
	@ctest --test-dir $(BUILD) --output-on-failure

demo: build
	@scripts/demo.sh --build $(BUILD) --estate $(ESTATE) --seed $(SEED)

bench: build
	@scripts/bench.sh --build $(BUILD) --bench $(BENCH) --seed $(SEED) --estate $(ESTATE)

soak: build
	@scripts/soak.sh --build $(BUILD) --estate $(ESTATE) --seed $(SEED) --duration-s $(DURATION_S)

format:
	@scripts/format.sh --fix

lint: build
	@scripts/format.sh --check
	@scripts/lint.sh $(BUILD)
