target/build/base/rng.o: base/rng.c base/rng.h
base/rng.h:
