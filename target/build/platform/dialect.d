target/build/platform/dialect.o: platform/dialect.c platform/dialect.h \
 core/dialect.h base/str.h base/verdict.h
platform/dialect.h:
core/dialect.h:
base/str.h:
base/verdict.h:
