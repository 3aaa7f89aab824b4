BIN := bin
# How long the demonstration loads the proxies.
DEMO_TIME := 20s

.PHONY: build test lint demo run faults bench experiments slopes soak clean

build:
	@mkdir -p $(BIN)
	go build -o $(BIN)/ ./cmd/...

# SKIP is a pattern of tests to leave out; CI passes those of KNOWN-RED.txt.
SKIP :=
test:
	go test -race $(if $(SKIP),-skip '$(SKIP)') ./...

lint:
	@test -z "$$(gofmt -l .)" || { gofmt -l .; exit 1; }
	go vet ./...
	go tool staticcheck ./...

clean:
	rm -rf $(BIN)

# The fault matrices over the decision core, in virtual time; all TestMatrix*.
faults:
	go test ./internal/faults -run TestMatrix -v

# Both deployments over separate processes; a primary is killed half-way.
demo: build
	scripts/demo.sh $(DEMO_TIME)

# The same set-up, kept running until interrupted.
run: build
	scripts/run.sh

# The fault soak of the platform's proxy over processes; SEEDS of them, SEED first.
SEEDS := 5
SEED := 0
soak: build
	$(BIN)/cranberrystage-soak --seed $(SEED) --seeds $(SEEDS)

# What a proxy costs against direct access and a naive proxy.
bench: build
	scripts/bench.sh

# One fault at a time over separate processes; EXPERIMENTS names some, else all.
experiments: build
	scripts/experiments.sh $(EXPERIMENTS)

# What control costs against size, measured in one process.
slopes: build
	$(BIN)/cranberrystage-bench slopes
