target/build/caller/request.o: caller/request.c caller/request.h \
 base/str.h
