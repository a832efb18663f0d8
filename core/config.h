/**
 * @file
 * The configuration model: the declarations of one file, and the immutable configuration that all
 * accepted files form. operator/ parses text into these types.
 */
#ifndef CORE_CONFIG_H
#define CORE_CONFIG_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/str.h"
#include "core/warmup.h"

#define CONFIG_ERROR (config_error_quark())
GQuark config_error_quark(void);

enum config_error {
	CONFIG_ERROR_SYNTAX, /**< not JSON with comments */
	CONFIG_ERROR_TYPE,   /**< wrong type, unknown key or invalid value */
	CONFIG_ERROR_NAME,   /**< a name that is not declared, or is declared twice */
	CONFIG_ERROR_SHARE,  /**< shares that do not add up to 100 */
	CONFIG_ERROR_TIME,   /**< a move whose times are invalid or reversed */
};

/** Priority of a request at a target; lower values are served first. */
enum traffic_class {
	CLASS_INTERACTIVE,
	CLASS_STANDARD,
	CLASS_BULK,
	CLASS_BACKGROUND,
	CLASS_COUNT,
};

struct str traffic_class_name(enum traffic_class class);
bool traffic_class_parse(struct str name, enum traffic_class *class);

/** Automatic decisions that an operator can switch off. */
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
	bool any_version;  /**< none is declared: every version that targets announce is used */
	struct str health; /**< path of the targets' health check; empty: none */
	int connections;   /**< limit on concurrent connections to a target; 0: none */
	struct warmup_rule warmup;
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

/** Returns the bit of a method name, or 0 if the method is none of the above. */
int method_bit(struct str name);

/** When a request on a route may be repeated. */
enum repeat_rule {
	REPEAT_IDEMPOTENT,   /**< after any failure */
	REPEAT_NOT_RUN,	     /**< only if it is known not to have run */
	REPEAT_AT_MOST_ONCE, /**< if known not to have run; its idempotency key is claimed first */
};

/** A weighted destination: a service that gets a share of a route's calls. */
struct route_destination {
	struct label service;
	int64_t weight;
};

struct route {
	struct label name;
	struct str host; /**< empty: any */
	struct str path; /**< prefix that ends at a segment boundary */
	int methods;
	struct label service; /**< service of the first destination if there are several */
	GArray *destinations; /**< struct route_destination; NULL: all calls go to .service */
	int64_t weight_sum;   /**< sum of the weights in .destinations */
	enum traffic_class class;
	struct str tenant_header; /**< empty: all callers belong to one tenant */
	enum repeat_rule repeat;
	int64_t timeout_us;	 /**< time limit of a call */
	int64_t objective_us;	 /**< response time objective; 0: none */
	int attempts;		 /**< limit on the targets tried for one call; 0: default */
	int concurrency_percent; /**< share of a target's slots that the route may use */
	bool is_public;		 /**< callers need no key, also where tenants are declared */
	int line;
};

/** A workspace whose callers present keys. */
struct tenant {
	struct label name;
	GArray *keys;		  /**< struct str; empty: all keys were withdrawn */
	bool has_class;		  /**< .class goes before the class of the route */
	enum traffic_class class; /**< class of its requests, with .has_class */
	double limit_per_s;	  /**< limit over the whole fleet, requests per second; 0: none */
	double burst;		  /**< requests beyond the rate at once, over the whole fleet */
	int line;
};

struct move_spec {
	uint64_t id; /**< offset of the declaring change times MOVES_PER_FILE, plus index */
	struct label service;
	struct label from; /**< empty: every version but .to (open-ended move) */
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

/** The declarations of one file. Owned by its struct change. */
struct config_file {
	GArray *services;  /**< struct service */
	GArray *routes;	   /**< struct route */
	GArray *moves;	   /**< struct move_spec; ids are 0 until accepted */
	GArray *switches;  /**< struct auto_switch */
	GArray *tenants;   /**< struct tenant */
	bool has_tenants;  /**< the file declares tenants, maybe none */
	GArray *evacuated; /**< struct label, data centres that are evacuated */
	int64_t serial;	   /**< increases with each version of the file; 0: none */
	GStringChunk *text;
};

struct config_file *config_file_new(void);
void config_file_free(struct config_file *file);
/** Returns a copy of @p s that lives as long as @p file. */
struct str config_file_copy_str(struct config_file *file, struct str s);

/** Special values of a change's base. */
enum {
	CHANGE_ANY_BASE = -2,	     /**< the change applies to any version of the file */
	CHANGE_SUPERSEDED_BASE = -3, /**< replaced by a later change: only the offset is used */
	CHANGE_INVALID_BASE = -4,    /**< the log's text is no valid file: every node rejects it */
};

/** One change that an operator published. Immutable and reference-counted. */
struct change {
	gint refs;
	struct label id; /**< unique, generated by the command-line tool */
	struct label file;
	int64_t base;	    /**< version of the file that was edited; 0: none; or CHANGE_*_BASE */
	struct str content; /**< owned; empty content removes the file */
	struct config_file *parsed; /**< NULL if .content is empty or does not parse */
	char *parse_error;	    /**< owned; why .content does not parse */
};

struct change *change_new(struct label id, struct label file, int64_t base, struct str content);
/** Creates a placeholder for a change that a later one replaces; only its offset is used. */
struct change *change_superseded(struct label id, struct label file);
/** Creates a change that every node rejects as invalid. The reason stands in place of its content.
 */
struct change *change_invalid(struct label id, struct label file, const char *reason);
struct change *change_ref(struct change *change);
void change_unref(struct change *change);

/** The accepted version of a file. */
struct accepted_file {
	struct label name;
	int64_t version; /**< offset of .change */
	struct change *change;
	GArray *move_ids; /**< uint64_t, one for each move of the file */
};

/** The configuration accepted up to a version. Immutable and reference-counted. */
struct config {
	gint refs;
	int64_t version;      /**< offset of the newest record processed */
	int64_t accepted;     /**< offset of the newest change accepted */
	GPtrArray *files;     /**< struct accepted_file, by name; a removed file has no content */
	GHashTable *services; /**< struct label -> struct service, borrowed from the files */
	GPtrArray *routes;    /**< struct route, longest path first */
	GHashTable *routes_by_name;	/**< struct label -> struct route */
	GHashTable *longest_objectives; /**< struct label -> int64_t, us; by service */
	GArray *moves;			/**< struct move_spec with ids */
	GArray *switches;		/**< struct auto_switch */
	bool has_tenants;		/**< requests need a key, except on public routes */
	GHashTable *tenants;	    /**< struct label -> struct tenant, borrowed from the files */
	GHashTable *tenants_by_key; /**< struct str -> struct tenant, borrowed */
	GArray *evacuated;	    /**< struct label, data centres that are evacuated */
};

/**
 * Builds the configuration that @p files form and checks it. Takes ownership of @p files.
 * @param error CONFIG_ERROR_NAME, _SHARE or _TIME, with the text "FILE:LINE: PATH: reason"
 * @return NULL on error
 */
struct config *config_build(GPtrArray *files, int64_t version, int64_t accepted, GError **error);
struct config *config_ref(struct config *config);
void config_unref(struct config *config);

struct accepted_file *accepted_file_new(struct label name, int64_t version, struct change *change);
struct accepted_file *accepted_file_copy(const struct accepted_file *from);
void accepted_file_free(struct accepted_file *file);

const struct accepted_file *config_find_file(const struct config *config, struct label name);
const struct service *config_find_service(const struct config *config, struct label name);
const struct route *config_find_route(const struct config *config, struct label name);
/**
 * Returns whether the route's calls to a service count as nested calls, which targets make while
 * they serve a longer call: nothing in a request says so, but their objective is far shorter than
 * the longest one among the routes to the service. Without an objective a route is not nested.
 */
bool config_is_nested(const struct config *config, const struct route *route, struct label service);
/** Returns the service for a call on the route; @p point selects a destination by weight. */
struct label route_service(const struct route *route, uint64_t point);
/** Returns the tenant that holds @p key, or NULL. */
const struct tenant *config_find_key(const struct config *config, struct str key);
const struct tenant *config_find_tenant(const struct config *config, struct label name);
/** Returns the matching route with the longest path; among equal paths, routes with a host precede
 * those without. NULL: none matches. */
const struct route *config_match(const struct config *config, struct str host, struct str method,
				 struct str path);
/** Returns whether the data centre is evacuated: its targets get no calls. */
bool config_is_evacuated(const struct config *config, struct label data_centre);
/** Returns whether an automatic decision is allowed for a service: it is switched off neither for
 * the service nor for all services. */
bool config_auto_allowed(const struct config *config, struct label service, enum auto_kind kind);

#endif
