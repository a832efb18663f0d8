#include "base/metrics.h"

#include <glib.h>

#include "base/hist.h"
#include "base/lockorder.h"

/* The number of series is bounded because callers choose the tenant names in the labels. */
enum { METRICS_SERIES_MAX = 2000 };

enum series_kind { SERIES_COUNTER /* or gauge */, SERIES_HISTOGRAM };

struct series {
	struct str name;
	struct str labels;
	enum series_kind kind;
	union {
		int64_t value;
		struct hist *hist;
	};
};

struct metrics {
	struct lock lock;
	GHashTable *by_key; /* set of struct series, by name and labels */
};

static void series_free(gpointer data)
{
	struct series *series = data;

	switch (series->kind) {
	case SERIES_COUNTER:
		break;
	case SERIES_HISTOGRAM:
		g_free(series->hist);
		break;
	}
	g_free((char *)series->name.data);
	g_free((char *)series->labels.data);
	g_free(series);
}

static guint series_hash(gconstpointer data)
{
	const struct series *series = data;

	return (guint)str_hash(series->labels, str_hash(series->name, 0));
}

static gboolean series_equal(gconstpointer a, gconstpointer b)
{
	const struct series *x = a;
	const struct series *y = b;

	return str_equal(x->name, y->name) && str_equal(x->labels, y->labels);
}

struct metrics *metrics_new(apr_pool_t *pool)
{
	struct metrics *metrics = g_new0(struct metrics, 1);

	lock_init(&metrics->lock, LOCK_COUNTERS, pool);
	metrics->by_key = g_hash_table_new_full(series_hash, series_equal, series_free, NULL);
	return metrics;
}

void metrics_free(struct metrics *metrics)
{
	if (!metrics)
		return;
	g_hash_table_destroy(metrics->by_key);
	lock_destroy(&metrics->lock);
	g_free(metrics);
}

static struct series *series_get(struct metrics *metrics, struct str name, struct str labels,
				 enum series_kind kind)
{
	struct series key = { .name = name, .labels = labels };
	struct series *series = g_hash_table_lookup(metrics->by_key, &key);

	if (series)
		return series;
	if (g_hash_table_size(metrics->by_key) >= METRICS_SERIES_MAX && labels.len &&
	    !str_equal(labels, STR("other=\"1\"")))
		return series_get(metrics, name, STR("other=\"1\""), kind);
	series = g_new0(struct series, 1);
	series->name = str_dup(name);
	series->labels = str_dup(labels);
	series->kind = kind;
	if (kind == SERIES_HISTOGRAM)
		series->hist = g_new0(struct hist, 1);
	g_hash_table_add(metrics->by_key, series);
	return series;
}

void metrics_add(struct metrics *metrics, struct str name, struct str labels, int64_t amount)
{
	lock_acquire(&metrics->lock);
	series_get(metrics, name, labels, SERIES_COUNTER)->value += amount;
	lock_release(&metrics->lock);
}

void metrics_set(struct metrics *metrics, struct str name, struct str labels, int64_t value)
{
	lock_acquire(&metrics->lock);
	series_get(metrics, name, labels, SERIES_COUNTER)->value = value;
	lock_release(&metrics->lock);
}

void metrics_observe(struct metrics *metrics, struct str name, struct str labels, int64_t us)
{
	lock_acquire(&metrics->lock);
	hist_add(series_get(metrics, name, labels, SERIES_HISTOGRAM)->hist, us);
	lock_release(&metrics->lock);
}

static gint series_compare(gconstpointer a, gconstpointer b)
{
	const struct series *x = a;
	const struct series *y = b;
	int order = str_compare(x->name, y->name);

	return order ? order : str_compare(x->labels, y->labels);
}

static void print_histogram(const struct series *series, struct strbuf *out)
{
	const char *comma = series->labels.len ? "," : "";
	uint64_t cumulative = 0;

	for (int i = 0; i < HIST_BUCKETS; i++) {
		cumulative += series->hist->count[i];
		if (series->hist->count[i] == 0)
			continue;
		strbuf_addf(out, "%.*s_bucket{%.*s%sle=\"%g\"} %lu\n", STR_ARG(series->name),
			    STR_ARG(series->labels), comma, (double)hist_bound_us(i) / 1e6,
			    cumulative);
	}
	strbuf_addf(out, "%.*s_bucket{%.*s%sle=\"+Inf\"} %lu\n", STR_ARG(series->name),
		    STR_ARG(series->labels), comma, series->hist->total);
	strbuf_addf(out, "%.*s_sum{%.*s} %g\n", STR_ARG(series->name), STR_ARG(series->labels),
		    (double)series->hist->sum_us / 1e6);
	strbuf_addf(out, "%.*s_count{%.*s} %lu\n", STR_ARG(series->name), STR_ARG(series->labels),
		    series->hist->total);
}

static void print_series(const struct series *series, struct strbuf *out)
{
	switch (series->kind) {
	case SERIES_COUNTER:
		strbuf_addf(out, "%.*s{%.*s} %ld\n", STR_ARG(series->name), STR_ARG(series->labels),
			    series->value);
		return;
	case SERIES_HISTOGRAM:
		print_histogram(series, out);
		return;
	}
	g_assert_not_reached();
}

void metrics_print(struct metrics *metrics, struct strbuf *out)
{
	GList *sorted;

	lock_acquire(&metrics->lock);
	sorted = g_list_sort(g_hash_table_get_keys(metrics->by_key), series_compare);
	for (GList *item = sorted; item; item = item->next)
		print_series(item->data, out);
	g_list_free(sorted);
	lock_release(&metrics->lock);
}
