/**
 * @file
 * The configuration model: what a file declares, and the immutable snapshot that all accepted
 * files make together. No encoding: operator/ turns text into these types.
 */
#ifndef CORE_CONFIG_H
#define CORE_CONFIG_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/str.h"

#define CONFIG_ERROR (config_error_quark())
GQuark config_error_quark(void);

enum config_error {
	CONFIG_ERROR_SYNTAX, /**< not JSON with comments */
	CONFIG_ERROR_TYPE,   /**< wrong type, unknown key or bad value */
	CONFIG_ERROR_NAME,   /**< a name that nothing declares, or that is declared twice */
	CONFIG_ERROR_SHARE,  /**< shares that don't add up to 100 */
	CONFIG_ERROR_TIME,   /**< a move whose times make no sense */
};

/** Order of service at a target: lower values go first. */
enum traffic_class {
	CLASS_INTERACTIVE,
	CLASS_STANDARD,
	CLASS_BULK,
	CLASS_BACKGROUND,
	CLASS_COUNT,
};

struct str traffic_class_name(enum traffic_class class);
bool traffic_class_parse(struct str name, enum traffic_class *class);

/** Automatic moves that an operator can switch off. */
enum auto_kind {
	AUTO_ADVANCE,
	AUTO_WITHDRAW,
	AUTO_EJECT,
	AUTO_QUARANTINE,
	AUTO_COUNT,
};

struct str auto_kind_name(enum auto_kind kind);
bool auto_kind_parse(struct str name, enum auto_kind *kind);

struct version {
	struct label name;
	int share_percent;
};

struct service {
	struct label name;
	GArray *versions;  /**< struct version */
	bool any_version;  /**< none is declared: whatever targets announce takes part */
	struct str health; /**< path of the targets' health check; empty: none */
	int connections;   /**< that a target takes at once; 0: no bound */
	int line;
};

enum {
	METHOD_GET = 1,
	METHOD_HEAD = 2,
	METHOD_POST = 4,
	METHOD_PUT = 8,
	METHOD_DELETE = 16,
	METHOD_PATCH = 32,
	METHOD_OPTIONS = 64,
	METHOD_ANY = 127
};

/** The bit of a method name; 0 if it is none of the above. */
int method_bit(struct str name);

/** What a repeat of a request on a route may do. */
enum repeat_rule {
	REPEAT_IDEMPOTENT,   /**< may be repeated whatever became of it */
	REPEAT_NOT_RUN,	     /**< only if it surely did not run */
	REPEAT_AT_MOST_ONCE, /**< the same, and its idempotency key is claimed first */
};

/** A share of a route's calls, in proportion to the weights of its other parts. */
struct route_part {
	struct label service;
	int64_t weight;
};

struct route {
	struct label name;
	struct str host; /**< empty: any */
	struct str path; /**< prefix, whole segments */
	int methods;
	struct label service; /**< of the first part, where there are several */
	GArray *parts;	      /**< struct route_part; NULL: all calls go to .service */
	int64_t weight_sum;   /**< of the parts */
	enum traffic_class class;
	struct str tenant_header; /**< empty: all callers are one tenant */
	enum repeat_rule repeat;
	int64_t timeout_us;	 /**< gives each call its deadline */
	int64_t objective_us;	 /**< an answer within it is on time; 0: none is stated */
	int attempts;		 /**< targets that one call may be sent to; 0: the default */
	int concurrency_percent; /**< of a target's slots */
	int line;
};

struct move_spec {
	uint64_t id; /**< offset of the change that declared it, times MOVES_PER_FILE, plus index */
	struct label service;
	struct label from; /**< empty: every version but .to */
	struct label to;
	int64_t start_at_us;  /**< wall clock */
	int64_t finish_at_us; /**< wall clock */
	int line;
};

enum { MOVES_PER_FILE = 1024 };

struct auto_switch {
	struct label service; /**< empty: all services */
	enum auto_kind kind;
	bool off;
	int line;
};

/** What one file declares. Owned by its struct change. */
struct config_file {
	GArray *services; /**< struct service */
	GArray *routes;	  /**< struct route */
	GArray *moves;	  /**< struct move_spec; ids are 0 until accepted */
	GArray *switches; /**< struct auto_switch */
	int64_t serial;	  /**< grows with each edition of the file; 0: none is stated */
	GStringChunk *text;
};

struct config_file *config_file_new(void);
void config_file_free(struct config_file *file);
/** Keeps a copy of @p s as long as the file. */
struct str config_file_keep(struct config_file *file, struct str s);

/** Bases that are no version. */
enum {
	CHANGE_ANY_BASE = -2, /**< the change replaces the file whatever its version */
	CHANGE_SUPERSEDED_BASE =
		-3, /**< a later change to the file is known: only the offset counts */
};

/** One change that an operator published. Immutable and counted. */
struct change {
	gint refs;
	struct label id; /**< unique, made by the tool */
	struct label file;
	int64_t base;	    /**< version of the file that the operator saw; 0: none; or one of
				 the above */
	struct str content; /**< owned; empty content removes the file */
	struct config_file *parsed; /**< NULL if the content does not parse */
	char *parse_error;	    /**< then says why */
};

struct change *change_new(struct label id, struct label file, int64_t base, struct str content);
/** Stands for a record that a later one replaces: only its offset counts. */
struct change *change_superseded(struct label id, struct label file);
struct change *change_ref(struct change *change);
void change_unref(struct change *change);

/** A file as accepted. */
struct accepted_file {
	struct label name;
	int64_t version; /**< offset of the change */
	struct change *change;
	GArray *move_ids; /**< uint64_t, one for each move of the file */
};

/** Everything accepted up to a version. Immutable and counted. */
struct config {
	gint refs;
	int64_t version;  /**< offset of the newest record judged */
	int64_t accepted; /**< offset of the newest change accepted */
	GPtrArray *files; /**< struct accepted_file, by name; removed files stay, without content */
	GHashTable *services; /**< struct label -> struct service, borrowed from the files */
	GPtrArray *routes;    /**< struct route, longest path first */
	GHashTable *by_name;  /**< struct label -> struct route */
	GArray *moves;	      /**< struct move_spec with ids */
	GArray *switches;     /**< struct auto_switch */
};

/**
 * Builds and checks the whole. Takes over @p files.
 * @param error CONFIG_ERROR_NAME, _SHARE or _TIME, worded "FILE:LINE: PATH: what is wrong"
 */
struct config *config_build(GPtrArray *files, int64_t version, int64_t accepted, GError **error);
struct config *config_ref(struct config *config);
void config_unref(struct config *config);

struct accepted_file *accepted_file_new(struct label name, int64_t version, struct change *change);
struct accepted_file *accepted_file_copy(const struct accepted_file *file);
void accepted_file_free(struct accepted_file *file);

const struct accepted_file *config_find_file(const struct config *config, struct label name);
const struct service *config_find_service(const struct config *config, struct label name);
const struct route *config_find_route(const struct config *config, struct label name);
/** The service that a call on the route goes to; @p point places it in the shares of the parts. */
struct label route_service(const struct route *route, uint64_t point);
/** The first route that matches; the longest path goes first, then a stated host. */
const struct route *config_match(const struct config *config, struct str host, struct str method,
				 struct str path);
/** Whether an automatic move may be originated for a service: its own switch, then that for all. */
bool config_auto_allowed(const struct config *config, struct label service, enum auto_kind kind);

#endif
