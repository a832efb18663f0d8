/**
 * @file
 * Internal declarations of the simulation, shared by sim.c, sim_log.c and sim_calls.c.
 */
#ifndef REGRESS_SIM_PARTS_H
#define REGRESS_SIM_PARTS_H

#include "regress/lib/sim.h"

#define START_MONO_US  (1000 * US_PER_S)
#define START_WALL_US  (1796000000LL * US_PER_S)
#define TICK_US	       (100 * US_PER_MS)
#define LOG_LATENCY_US (3 * US_PER_MS)

enum {
	STREAMS = 2 + CLAIM_PARTITIONS,
	DATA_CENTRES_MAX = 16,
	SERVICE_TIME_US = 2000,
	MESSAGE_HEADER_BYTES = 24
};

enum pending_event_kind { PENDING_TICK, PENDING_MESSAGE, PENDING_LOG_ANSWER, PENDING_APPENDED };

/* A scheduled event of a node. The kind tells which union member is valid. */
struct pending_event {
	int64_t at_us;
	uint64_t seq;
	enum pending_event_kind kind;
	int to;			 /* index of the receiving node */
	int64_t node_started_us; /* receiver's start; the event is dropped after a restart */
	union {
		struct {
			uint64_t from;
			struct message *message;
		} message;
		struct {
			int stream;
			int64_t from;
			uint64_t long_poll_id; /* 0 if none */
			bool transferred;      /* the node's link has carried it */
			bool check;	       /* as in the action */
		} answer;
		struct {
			int stream;
			uint64_t tag;
			int64_t offset;
			bool succeeded;
		} appended;
	};
};

/* A read that waits for new records of a stream. */
struct long_poll {
	uint64_t id;
	int node;
	int64_t node_started_us;
	int stream;
	int64_t from;
};

struct sim {
	struct sim_options options;
	struct sim_node *nodes;
	struct rng rng;
	int64_t now_us; /* since START_MONO_US */
	uint64_t seq;
	GPtrArray *heap;      /* struct pending_event, a min-heap by at_us and seq */
	GArray *log[STREAMS]; /* struct log_record, by stream_index() */
	int64_t oldest_offset[STREAMS];
	GArray *written_us[STREAMS]; /* int64_t, one for each record */
	GArray *long_polls;	     /* struct long_poll */
	bool log_unavailable;
	int lose_answers; /* appends still to be answered as failed */
	struct sim_log_stats stats;
	bool link_cut[DATA_CENTRES_MAX][DATA_CENTRES_MAX];
	char violation[256];
	uint64_t trace; /* see sim_trace_hash() */
};

/* sim.c */
struct pending_event *sim_schedule(struct sim *sim, int64_t at_us, enum pending_event_kind kind,
				   int to);
void sim_handle_event(struct sim *sim, int index, const struct event *event);
void sim_record_violation(struct sim *sim, int node, const char *description);
/** Adds @p bytes to a link; returns the time until it has carried them. */
int64_t sim_link_delay_us(const struct sim *sim, int64_t *busy_until_us, size_t bytes);
int sim_index_from_id(const struct sim *sim, uint64_t id);

/* sim_log.c */
void sim_read_action(struct sim *sim, int node, const struct action *action);
void sim_append_action(struct sim *sim, int node, struct action *action);
void sim_deliver_log_answer(struct sim *sim, const struct pending_event *pending);
void sim_stream_from_index(int index, enum log_stream *stream, int *partition);

#endif
