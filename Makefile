# Shortcuts; CMake does the work.
.PHONY: build test lint run

build:
	cmake -B build -DCMAKE_BUILD_TYPE=Release
	cmake --build build -j$$(nproc)

test:
	tests/run

lint:
	scripts/lint

run: build
	exec build/lichenlug serve
