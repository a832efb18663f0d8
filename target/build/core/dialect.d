target/build/core/dialect.o: core/dialect.c core/dialect.h base/str.h \
 base/verdict.h
core/dialect.h:
base/str.h:
base/verdict.h:
