target/build/base/clock.o: base/clock.c base/clock.h base/str.h
base/clock.h:
base/str.h:
