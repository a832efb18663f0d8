target/build/base/hist.o: base/hist.c base/hist.h
base/hist.h:
