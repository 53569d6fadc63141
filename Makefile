# Shortcuts; CMake does the work.
.PHONY: build test lint run lab demo

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
	cmake -B build-lab -DCMAKE_BUILD_TYPE=Release -DROOKGW_BUILD_LAB=ON
	cmake --build build-lab -j$$(nproc) --target lichenlug-lab

# Three dispatchers and six boxes on loopback; a box and a dispatcher are lost half-way. Ends by itself.
demo: build lab
	build-lab/lab/lichenlug-lab fleet lab/fleets/demo.toml
