# Shortcuts; CMake does the work.
.PHONY: build test lint run lab demo system system-demo system-soak system-test

build:
	cmake -B build -DCMAKE_BUILD_TYPE=Release
	cmake --build build -j$$(nproc)

test:
	tests/run

lint:
	scripts/lint

run: build
	exec build/lichenlug serve

lab:
	cmake -B build-lab -DCMAKE_BUILD_TYPE=Release -DROOKGW_BUILD_LAB=ON -DLICHENLUG_SYSTEM=ON
	cmake --build build-lab -j$$(nproc) --target lichenlug-lab

# Three dispatchers and six boxes on loopback; a box and a dispatcher are lost half-way. Ends by itself.
demo: build lab
	build-lab/lab/lichenlug-lab fleet lab/fleets/demo.toml

# The model router with the stand-ins of its rig.
system:
	cmake -B build-system -DCMAKE_BUILD_TYPE=Release -DLICHENLUG_SYSTEM=ON -DROOKGW_BUILD_LAB=ON
	cmake --build build-system -j$$(nproc) --target lichenlugd lichenlugctl lichenlug-lab-system

# Four dispatchers and six runners on loopback; a dispatcher is lost, a runner drains. Ends by itself.
system-demo: system
	build-system/lab/system/lichenlug-lab-system

# One seed of drawn signals, restarts and changes against real dispatchers; docs/operate/soak.md.
system-soak: system
	cmake --build build-system -j$$(nproc) --target lichenlug-lab-soak
	build-system/lab/system/lichenlug-lab-soak --seed $(or $(SEED),1)

# The tests of the model router, those with real processes among them.
system-test:
	CTEST_OPTIONS="-R ^system" tests/run
