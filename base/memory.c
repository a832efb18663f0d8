#include "base/memory.h"

#include "base/lockorder.h"

/* Size of the smallest VM in use. */
#define VM_DEFAULT_MB 160LL
#define BYTES_PER_MB  (1LL << 20)

/* A quarter of a VM: the target has the larger part, and the tables and threads of the node take
 * 15 to 30 MB. */
#define BUDGET_DIVISOR 4
/* Beyond 3/4 of the budget the connections that hold much are not read. */
#define SHORT_NUMERATOR	  3
#define SHORT_DENOMINATOR 4
/* Requests that run already still fill their answers: beyond 5/4 progress protects nobody. */
#define EXCESS_NUMERATOR   5
#define EXCESS_DENOMINATOR 4
/* Parts of the budget: what is much for a connection, and what unread answers of one may take. */
#define MUCH_DIVISOR	256
#define ANSWERS_DIVISOR 16
/* A caller that reads takes a window of an answer in less, also over 1 Mbit/s. */
#define STALLED_US (2 * US_PER_S)

enum {
	MUCH_MIN_BYTES = 128 << 10, /* an ordinary request with a body in transit holds less */
	ANSWERS_MIN_BYTES = 1 << 20,
	CLOSE_MIN_BYTES = 64 << 10, /* closing a connection that holds less gains nothing */
};

struct memory {
	int64_t budget;
	struct lock lock; /* LOCK_MEMORY: guards all members below */
	int64_t held[MEMORY_USES];
	int64_t kept;	    /* bytes that count against the budget: without holders that close */
	GPtrArray *holders; /* struct memory_holder */
};

struct str memory_use_name(enum memory_use use)
{
	switch (use) {
	case MEMORY_REQUESTS:
		return STR("requests");
	case MEMORY_ANSWERS:
		return STR("answers");
	case MEMORY_BODIES:
		return STR("bodies");
	case MEMORY_USES:
		break;
	}
	g_assert_not_reached();
}

int64_t memory_budget(int64_t memory_mb)
{
	return (memory_mb ? memory_mb : VM_DEFAULT_MB) * BYTES_PER_MB / BUDGET_DIVISOR;
}

struct memory *memory_new(int64_t budget_bytes, apr_pool_t *pool)
{
	struct memory *memory = g_new0(struct memory, 1);

	memory->budget = budget_bytes;
	lock_init(&memory->lock, LOCK_MEMORY, pool);
	memory->holders = g_ptr_array_new();
	return memory;
}

void memory_free(struct memory *memory)
{
	if (!memory)
		return;
	g_ptr_array_unref(memory->holders);
	lock_destroy(&memory->lock);
	g_free(memory);
}

static int64_t total_of(const struct memory_holder *holder)
{
	int64_t total = 0;

	for (int i = 0; i < MEMORY_USES; i++)
		total += holder->held[i];
	return total;
}

static void charge(struct memory *memory, struct memory_holder *holder, enum memory_use use,
		   int64_t bytes)
{
	holder->held[use] += bytes;
	memory->held[use] += bytes;
	if (!holder->closing)
		memory->kept += bytes;
}

void memory_join(struct memory *memory, struct memory_holder *holder, struct instant now)
{
	lock_acquire(&memory->lock);
	*holder = (struct memory_holder){ .progress_us = now.mono_us,
					  .joined = true,
					  .index = memory->holders->len };
	g_ptr_array_add(memory->holders, holder);
	lock_release(&memory->lock);
}

void memory_leave(struct memory *memory, struct memory_holder *holder)
{
	struct memory_holder *moved;

	lock_acquire(&memory->lock);
	for (int i = 0; i < MEMORY_USES; i++)
		charge(memory, holder, (enum memory_use)i, -holder->held[i]);
	g_ptr_array_remove_index_fast(memory->holders, holder->index);
	if (holder->index < memory->holders->len) {
		moved = g_ptr_array_index(memory->holders, holder->index);
		moved->index = holder->index;
	}
	holder->joined = false;
	lock_release(&memory->lock);
}

void memory_charge(struct memory *memory, struct memory_holder *holder, enum memory_use use,
		   int64_t bytes)
{
	if (bytes == 0)
		return;
	lock_acquire(&memory->lock);
	charge(memory, holder, use, bytes);
	lock_release(&memory->lock);
}

void memory_sent(struct memory *memory, struct memory_holder *holder, struct instant now)
{
	lock_acquire(&memory->lock);
	holder->progress_us = now.mono_us;
	lock_release(&memory->lock);
}

void memory_received(struct memory *memory, struct memory_holder *holder, struct instant now)
{
	lock_acquire(&memory->lock);
	if (holder->held[MEMORY_ANSWERS] == 0)
		holder->progress_us = now.mono_us;
	lock_release(&memory->lock);
}

static bool is_over(const struct memory *memory)
{
	return memory->kept > memory->budget;
}

static bool is_short(const struct memory *memory)
{
	return memory->kept > memory->budget / SHORT_DENOMINATOR * SHORT_NUMERATOR;
}

/* Returns whether the connection gives way: it holds much while memory is short, or leaves its
 * answers unread. */
static bool gives_way(const struct memory *memory, const struct memory_holder *holder)
{
	int64_t much = MAX(memory->budget / MUCH_DIVISOR, MUCH_MIN_BYTES);
	int64_t answers_max = MAX(memory->budget / ANSWERS_DIVISOR, ANSWERS_MIN_BYTES);

	return holder->held[MEMORY_ANSWERS] >= answers_max ||
	       (is_short(memory) && total_of(holder) >= much);
}

bool memory_may_read(struct memory *memory, const struct memory_holder *holder)
{
	bool may;

	lock_acquire(&memory->lock);
	may = !gives_way(memory, holder);
	lock_release(&memory->lock);
	return may;
}

enum memory_admission memory_admit(struct memory *memory, const struct memory_holder *holder,
				   bool first)
{
	enum memory_admission admission = MEMORY_RUN;

	lock_acquire(&memory->lock);
	if (!first && gives_way(memory, holder))
		admission = MEMORY_WAIT;
	else if (is_over(memory))
		admission = first ? MEMORY_REFUSE : MEMORY_WAIT;
	lock_release(&memory->lock);
	return admission;
}

static bool is_stalled(const struct memory_holder *holder, struct instant now)
{
	return now.mono_us - holder->progress_us >= STALLED_US;
}

/* Returns the holder of the most bytes, NULL if none is worth closing. */
static struct memory_holder *largest(const struct memory *memory, bool stalled_only,
				     struct instant now)
{
	struct memory_holder *found = NULL;
	int64_t most = CLOSE_MIN_BYTES;

	for (guint i = 0; i < memory->holders->len; i++) {
		struct memory_holder *holder = g_ptr_array_index(memory->holders, i);
		int64_t total = total_of(holder);

		if (holder->closing || total < most || (stalled_only && !is_stalled(holder, now)))
			continue;
		found = holder;
		most = total;
	}
	return found;
}

static void set_closing(struct memory *memory, struct memory_holder *holder)
{
	if (holder->closing || !holder->joined)
		return;
	memory->kept -= total_of(holder);
	holder->closing = true;
}

static void describe(const struct memory *memory, const struct memory_holder *holder,
		     struct instant now, struct memory_closing *state)
{
	*state = (struct memory_closing){ .total = memory->kept,
					  .stalled_us = now.mono_us - holder->progress_us };
	for (int i = 0; i < MEMORY_USES; i++)
		state->held[i] = holder->held[i];
}

void memory_describe(struct memory *memory, const struct memory_holder *holder, struct instant now,
		     struct memory_closing *state)
{
	lock_acquire(&memory->lock);
	describe(memory, holder, now, state);
	lock_release(&memory->lock);
}

bool memory_choose(struct memory *memory, struct instant now, struct memory_closing *closing)
{
	struct memory_holder *found = NULL;

	lock_acquire(&memory->lock);
	if (is_over(memory)) {
		found = largest(memory, true, now);
		if (!found && memory->kept > memory->budget / EXCESS_DENOMINATOR * EXCESS_NUMERATOR)
			found = largest(memory, false, now);
	}
	if (found) {
		describe(memory, found, now, closing);
		closing->holder = found;
		set_closing(memory, found);
	}
	lock_release(&memory->lock);
	return found != NULL;
}

void memory_set_closing(struct memory *memory, struct memory_holder *holder)
{
	lock_acquire(&memory->lock);
	set_closing(memory, holder);
	lock_release(&memory->lock);
}

bool memory_is_over(struct memory *memory)
{
	bool over;

	lock_acquire(&memory->lock);
	over = is_over(memory);
	lock_release(&memory->lock);
	return over;
}

bool memory_is_short(struct memory *memory)
{
	bool is;

	lock_acquire(&memory->lock);
	is = is_short(memory);
	lock_release(&memory->lock);
	return is;
}

int64_t memory_held(struct memory *memory, enum memory_use use)
{
	int64_t held;

	lock_acquire(&memory->lock);
	held = memory->held[use];
	lock_release(&memory->lock);
	return held;
}

int64_t memory_budget_of(const struct memory *memory)
{
	return memory->budget;
}
