BIN := bin
PROGRAMS := cranberrystage-proxy cranberrystage-ctl cranberrystage-report cranberrystage-bench cranberrystage-standin

.PHONY: build test lint demo run faults bench slopes clean

build:
	@mkdir -p $(BIN)
	go build -o $(BIN)/ ./cmd/...

test:
	go test -race ./...

lint:
	@test -z "$$(gofmt -l .)" || { gofmt -l .; exit 1; }
	go vet ./...
	go tool staticcheck ./...

clean:
	rm -rf $(BIN)

demo: build
	scripts/demo.sh

run: build
	scripts/run.sh
