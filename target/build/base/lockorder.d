target/build/base/lockorder.o: base/lockorder.c base/lockorder.h \
 /usr/include/apr-1.0/apr_pools.h /usr/include/apr-1.0/apr.h \
 /usr/include/apr-1.0/apr_errno.h /usr/include/apr-1.0/apr_general.h \
 /usr/include/apr-1.0/apr_pools.h /usr/include/apr-1.0/apr_want.h \
 /usr/include/apr-1.0/apr_allocator.h \
 /usr/include/apr-1.0/apr_thread_mutex.h /usr/include/apr-1.0/apr_time.h \
 /usr/include/apr-1.0/apr_thread_cond.h \
 /usr/include/apr-1.0/apr_thread_mutex.h
base/lockorder.h:
/usr/include/apr-1.0/apr_pools.h:
/usr/include/apr-1.0/apr.h:
/usr/include/apr-1.0/apr_errno.h:
/usr/include/apr-1.0/apr_general.h:
/usr/include/apr-1.0/apr_pools.h:
/usr/include/apr-1.0/apr_want.h:
/usr/include/apr-1.0/apr_allocator.h:
/usr/include/apr-1.0/apr_thread_mutex.h:
/usr/include/apr-1.0/apr_time.h:
/usr/include/apr-1.0/apr_thread_cond.h:
/usr/include/apr-1.0/apr_thread_mutex.h:
