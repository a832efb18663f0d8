/**
 * @file
 * Inside of the simulation, for sim.c, sim_log.c and sim_calls.c.
 */
#ifndef REGRESS_SIM_PARTS_H
#define REGRESS_SIM_PARTS_H

#include "regress/lib/sim.h"

#define START_US   (1000 * US_PER_S)
#define WALL_US	   (1796000000LL * US_PER_S)
#define TICK_US	   (100 * US_PER_MS)
#define LOG_LAG_US (3 * US_PER_MS)

enum {
	STREAMS = 2 + CLAIM_PARTITIONS,
	DATA_CENTRES_MAX = 16,
	SERVICE_US = 2000,
	HEADER_BYTES = 24
};

enum pending_kind { PENDING_TICK, PENDING_MESSAGE, PENDING_LOG_ANSWER, PENDING_APPENDED };

struct pending {
	int64_t at_us;
	uint64_t seq;
	enum pending_kind kind;
	int to;
	int64_t life; /* of the node it is for: a restarted one must not get it */
	union {
		struct {
			uint64_t from;
			struct message *message;
		} message;
		struct {
			int stream;
			int64_t from;
			uint64_t waiter;
		} answer;
		struct {
			int stream;
			uint64_t tag;
			int64_t offset;
			bool done;
		} appended;
	};
};

struct waiter {
	uint64_t number;
	int node;
	int64_t life;
	int stream;
	int64_t from;
};

struct sim {
	struct sim_options options;
	struct sim_node *nodes;
	struct rng rng;
	int64_t now_us; /* since START_US */
	uint64_t seq;
	GPtrArray *heap;      /* struct pending */
	GArray *log[STREAMS]; /* struct log_record, by stream_index() */
	int64_t oldest[STREAMS];
	GArray *written_at[STREAMS]; /* int64_t */
	GArray *waiters;	     /* struct waiter */
	bool log_out;
	int lose_answers;
	struct sim_log_stats stats;
	bool cut[DATA_CENTRES_MAX][DATA_CENTRES_MAX];
	char violation[256];
	uint64_t trace;
};

/* sim.c */
struct pending *sim_push(struct sim *sim, int64_t at_us, enum pending_kind kind, int to);
void sim_handle(struct sim *sim, int index, const struct event *event);
void sim_violate(struct sim *sim, int node, const char *what);
int sim_index_of(const struct sim *sim, uint64_t id);

/* sim_log.c */
void sim_read_action(struct sim *sim, int node, const struct action *action);
void sim_append_action(struct sim *sim, int node, struct action *action);
void sim_give_log(struct sim *sim, const struct pending *pending);
void sim_stream_of(int index, enum log_stream *stream, int *partition);

#endif
