# Shortcuts; CMake does the work.
.PHONY: build test lint run lab

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
