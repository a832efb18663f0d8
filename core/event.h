/**
 * @file
 * What happens to a node, and what it then wants done, as types.
 */
#ifndef CORE_EVENT_H
#define CORE_EVENT_H

#include "base/events.h"
#include "core/message.h"

/** How a request to the platform's log failed. */
enum log_failure {
	LOG_FAILURE_OUT,     /**< no answer, or an error of the service */
	LOG_FAILURE_LIMITED, /**< over its rate: come back later */
	LOG_FAILURE_GONE,    /**< the wanted offset has lapsed */
};

enum event_kind {
	EVENT_TICK, /**< every 100 ms */
	EVENT_MESSAGE,
	EVENT_LOG_BATCH,      /**< answer to ACTION_READ_LOG; may be empty */
	EVENT_LOG_FAILED,     /**< likewise */
	EVENT_APPENDED,	      /**< answer to ACTION_APPEND */
	EVENT_APPEND_FAILED,  /**< likewise; it may have taken effect all the same */
	EVENT_PEERS,	      /**< other nodes that may be there, from the platform's list */
	EVENT_TARGET_UP,      /**< the target announced itself, or renewed */
	EVENT_TARGET_DOWN,    /**< its announcement lapsed, or it said goodbye */
	EVENT_TARGET_LEAVING, /**< it drains */
	EVENT_RETIRE,	      /**< callers should go elsewhere; the target still takes work */
	EVENT_STOP,	      /**< the node leaves */
};

/** The tag says which member holds. The handler owns nothing of it. */
struct event {
	enum event_kind kind;
	union {
		struct {
			uint64_t from;
			struct message *message;
		} message;
		struct {
			enum log_stream stream;
			int partition; /**< of STREAM_KEYS, here and below */
			struct log_record *records;
			int count;
			int64_t newest; /**< last offset of the stream at that time */
		} batch;
		struct {
			enum log_stream stream;
			int partition;
			enum log_failure failure;
		} failed;
		struct {
			enum log_stream stream;
			int partition;
			uint64_t tag;
			int64_t offset; /**< EVENT_APPENDED */
		} append;		/**< EVENT_APPENDED, EVENT_APPEND_FAILED */
		struct {
			const uint64_t *ids; /**< member ids */
			int count;
		} peers;
		struct {
			struct label service;
			struct label version;
			int slots;
		} target;
	};
};

enum action_kind {
	ACTION_SEND,
	ACTION_READ_LOG,
	/**< long poll; answered by EVENT_LOG_BATCH or EVENT_LOG_FAILED */ ACTION_APPEND,
	ACTION_CLAIMED, /**< the answer to node_claim_start() */
	ACTION_NOTE,	/**< for the log */
};

enum { NOTE_MAX_BYTES = 200 };

/** The tag says which member holds. */
struct action {
	enum action_kind kind;
	union {
		struct {
			uint64_t to;
			struct message *message; /**< owned */
		} send;
		struct {
			enum log_stream stream;
			int partition;
			int64_t from;
			struct deadline wait_until; /**< how long the log may hold the answer */
		} read;
		struct {
			uint64_t seq;
			enum claim_result result;
			int status;
		} claimed;
		struct {
			enum log_stream stream;
			int partition;
			uint64_t tag;
			struct log_record record; /**< owned; its offset is not set */
		} append;
		struct {
			enum log_event event;
			char text[NOTE_MAX_BYTES];
		} note;
	};
};

/** A list of actions; free with actions_clear(). */
struct actions {
	GArray *list; /**< struct action */
};

struct actions actions_new(void);
void actions_clear(struct actions *actions);
/** Takes over one reference of @p message. */
void actions_send(struct actions *actions, uint64_t to, struct message *message);
void actions_read(struct actions *actions, enum log_stream stream, int partition, int64_t from,
		  struct deadline wait_until);
void actions_append(struct actions *actions, enum log_stream stream, int partition, uint64_t tag,
		    struct log_record record);
void actions_claimed(struct actions *actions, uint64_t seq, enum claim_result result, int status);
void actions_note(struct actions *actions, enum log_event event, const char *format, ...)
	__attribute__((format(printf, 3, 4)));

#endif
