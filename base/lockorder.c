#include "base/lockorder.h"

#include <assert.h>
#include <stdint.h>

#ifndef NDEBUG
static _Thread_local uint32_t held_ranks;

static void record_acquired(enum lock_rank rank)
{
	/* No lock of this rank or a higher one may be held already. */
	assert((held_ranks >> rank) == 0);
	held_ranks |= 1U << rank;
}

static void record_released(enum lock_rank rank)
{
	assert(held_ranks & (1U << rank));
	held_ranks &= ~(1U << rank);
}
#else
static void record_acquired(enum lock_rank rank)
{
	(void)rank;
}

static void record_released(enum lock_rank rank)
{
	(void)rank;
}
#endif

void lock_init(struct lock *lock, enum lock_rank rank, apr_pool_t *pool)
{
	apr_status_t status;

	status = apr_thread_mutex_create(&lock->mutex, APR_THREAD_MUTEX_DEFAULT, pool);
	assert(status == APR_SUCCESS);
	(void)status;
	lock->rank = rank;
}

void lock_destroy(struct lock *lock)
{
	apr_thread_mutex_destroy(lock->mutex);
}

void lock_acquire(struct lock *lock)
{
	record_acquired(lock->rank);
	apr_thread_mutex_lock(lock->mutex);
}

void lock_release(struct lock *lock)
{
	apr_thread_mutex_unlock(lock->mutex);
	record_released(lock->rank);
}

bool lock_wait(struct lock *lock, apr_thread_cond_t *cond, int64_t us)
{
	return apr_thread_cond_timedwait(cond, lock->mutex, us) == APR_SUCCESS;
}
