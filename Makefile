# Every target makes what it needs in a virtual environment from pinned versions.
VENV ?= .venv
BIN := $(VENV)/bin
PORT ?= 8080

FUZZ_SEED := $(or $(FUZZ_SEED),$(shell od -An -N4 -tu4 /dev/urandom | tr -d ' '))

.PHONY: demo run test fuzz lint format proto docs bench bench-cost bench-capacity faults soak clean

$(VENV)/.installed: requirements.txt
	python3 -m venv $(VENV)
	$(BIN)/pip install --quiet -r requirements.txt
	$(BIN)/pip install --quiet --no-deps --no-build-isolation -e .
	touch $@

demo: $(VENV)/.installed  ## one request of each rank, a stream, a booking and its repeat
	@$(BIN)/python -m chivewall.demo

run: $(VENV)/.installed  ## a whole site in one process on 127.0.0.1:$(PORT)
	@$(BIN)/python -m chivewall.demo --stay --port $(PORT)

test: lint  ## formatter, linter and all tests
	$(BIN)/python -m pytest -n 8

fuzz: $(VENV)/.installed  ## property tests with fresh examples; FUZZ_SEED=N repeats a run
	@echo "FUZZ_SEED=$(FUZZ_SEED)"
	$(BIN)/python -m pytest -n 8 --hypothesis-profile=fuzz --hypothesis-seed=$(FUZZ_SEED) \
	  $$(grep -l '^from hypothesis' tests/test_*.py)

lint: $(VENV)/.installed
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: $(VENV)/.installed
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

proto: $(VENV)/.installed  ## generates the committed code of the wire format
	PATH=$(abspath $(BIN)):$$PATH $(BIN)/python -m grpc_tools.protoc -I. \
	  --python_out=. --grpclib_python_out=. chivewall/wire/chivewall.proto

bench: $(VENV)/.installed  ## compares policies on a virtual clock; QUICK=1 takes one seed
	@QUICK=$(QUICK) $(BIN)/python -m bench

bench-cost: $(VENV)/.installed  ## what entry and agent add to a direct call
	@$(BIN)/python -m bench.cost

bench-capacity: $(VENV)/.installed  ## CPU and memory slopes of an entry and an agent
	@$(BIN)/python -m bench.capacity

clean:
	rm -rf $(VENV) build .pytest_cache .ruff_cache .hypothesis

faults: $(VENV)/.installed  ## steps by faults, pairs and a random walk on a virtual clock
	$(BIN)/python -m bench.faults

soak: $(VENV)/.installed  ## faults against real gateway processes; SEEDS=50 MINUTES=5 FIRST=1
	@$(BIN)/python -m soak --seeds $(or $(SEEDS),50) --minutes $(or $(MINUTES),0) \
	  $(if $(FIRST),--first $(FIRST))

docs: $(VENV)/.installed  ## writes the reference tables in docs/
	$(BIN)/python -m extras.reference
