/**
 * @file
 * Types of the events that a node handles and of the actions that it requests.
 */
#ifndef CORE_EVENT_H
#define CORE_EVENT_H

#include "base/events.h"
#include "core/message.h"
#include "core/quota.h"

/** How a request to the platform's log failed. */
enum log_failure {
	LOG_FAILURE_UNAVAILABLE, /**< no answer, or an error of the log service */
	LOG_FAILURE_LIMITED,	 /**< the log's rate limit is exceeded: retry later */
	LOG_FAILURE_EXPIRED,	 /**< the requested offset is no longer retained */
};

enum event_kind {
	EVENT_TICK, /**< every 100 ms */
	EVENT_MESSAGE,
	EVENT_LOG_BATCH,      /**< answer to ACTION_READ_LOG; may be empty */
	EVENT_LOG_FAILED,     /**< ACTION_READ_LOG failed */
	EVENT_APPENDED,	      /**< answer to ACTION_APPEND */
	EVENT_APPEND_FAILED,  /**< ACTION_APPEND failed; the record may have been appended */
	EVENT_PEERS,	      /**< possible other nodes, from the platform's list */
	EVENT_TARGET_UP,      /**< the target announced itself, or renewed its announcement */
	EVENT_TARGET_DOWN,    /**< the announcement expired, or the target deregistered */
	EVENT_TARGET_LEAVING, /**< the target drains */
	EVENT_RETIRE,	      /**< callers should use other nodes; the target still takes work */
	EVENT_STOP,	      /**< the node stops */
};

/** The kind selects the member of the union. The handler does not own the contents. */
struct event {
	enum event_kind kind;
	union {
		struct {
			uint64_t from;
			struct message *message;
		} message;
		struct {
			enum log_stream stream;
			int partition; /**< partition of STREAM_KEYS, here and below */
			struct log_record *records;
			int count;
			int64_t newest; /**< newest offset of the stream at the time */
			bool check;	/**< as in the action, here and below */
		} batch;
		struct {
			enum log_stream stream;
			int partition;
			enum log_failure failure;
			bool check;
		} failed;
		struct {
			enum log_stream stream;
			int partition;
			uint64_t tag;	/**< tag of the action */
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
			bool started;	    /**< another incarnation, or none was known */
			bool states_warmup; /**< the target states whether it is cold */
			bool cold;
		} target;
		struct {
			struct deadline queue_ends_at; /**< as in struct stop_plan */
			struct deadline work_ends_at;
		} retire;
	};
};

enum action_kind {
	ACTION_SEND,
	ACTION_READ_LOG,    /**< long poll; EVENT_LOG_BATCH or EVENT_LOG_FAILED follows */
	ACTION_APPEND,	    /**< EVENT_APPENDED or EVENT_APPEND_FAILED follows */
	ACTION_CLAIMED,	    /**< the answer to node_claim_start() */
	ACTION_QUOTA,	    /**< the answer to node_quota_take() that said QUOTA_WAITS */
	ACTION_CLAIM_ENDED, /**< the log holds an outcome reported by node_claim_end() */
	ACTION_LOG_EVENT,   /**< an event for the daemon's log file */
};

enum { EVENT_TEXT_MAX_BYTES = 200 };

/** The kind selects the member of the union. */
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
			struct deadline wait_until; /**< latest time for the log's answer */
			bool check;		    /**< not a long poll, but beside one */
		} read;
		struct {
			uint64_t seq;
			enum claim_result result;
			int status;
		} claimed;
		struct quota_result quota;
		uint64_t claim_ended; /**< the claim */
		struct {
			enum log_stream stream;
			int partition;
			uint64_t tag;
			struct log_record record; /**< owned; its offset is not set */
		} append;
		struct {
			enum log_event event;
			char text[EVENT_TEXT_MAX_BYTES];
		} log_event;
	};
};

/** A list of actions; free with actions_clear(). */
struct actions {
	GArray *list; /**< struct action */
};

struct actions actions_new(void);
void actions_clear(struct actions *actions);
/** Takes ownership of one reference to @p message. */
void actions_send(struct actions *actions, uint64_t to, struct message *message);
void actions_read(struct actions *actions, enum log_stream stream, int partition, int64_t from,
		  struct deadline wait_until);
/** Reads changes from @p from on without waiting, beside a long poll that may be in progress. */
void actions_check_log(struct actions *actions, int64_t from);
void actions_append(struct actions *actions, enum log_stream stream, int partition, uint64_t tag,
		    struct log_record record);
void actions_claimed(struct actions *actions, uint64_t seq, enum claim_result result, int status);
void actions_claim_ended(struct actions *actions, uint64_t claim);
void actions_quota(struct actions *actions, const struct quota_result *result);
void actions_log_event(struct actions *actions, enum log_event event, const char *format, ...)
	__attribute__((format(printf, 3, 4)));

#endif
