target/build/core/registration.o: core/registration.c core/registration.h \
 base/str.h
core/registration.h:
base/str.h:
