/* Case 1: an answer that breaks off in its head becomes a 503, and the invoice is issued twice. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "review/stand.h"

enum {
	MACHINES = 6,
	GARBLING = 2,	  /* a third of the upstreams */
	GARBLE_EACH = 50, /* of their answers: a share of 0.02 */
	GARBLE_MS = 5500,
	CLIENTS = 12,
	WORK_MS = 20,
	PACE_MS = 10,
	BODY_BYTES = 400, /* the mean of sortie-oeuvre on the site */
	INVOICES_MAX = 100000,
	BROKEN = 1,
};

static struct machine machines[MACHINES];
static struct upstream upstreams[MACHINES];
static char runs[INVOICES_MAX]; /* by the number of the invoice, of all its attempts */
static char attempt_runs[INVOICES_MAX][2];
static volatile int next_invoice;
static volatile int refused_after_run;
static volatile int issued_twice;
static volatile int empty_successes;
static volatile int broken_off;
static volatile int64_t garble_from_ms = INT64_MAX;
static volatile int64_t garble_to_ms;
static volatile bool sending = true;

/* Sends the head up to a random place behind its first line, and ends, as a process does. */
static bool break_off(const struct arrival *arrival, unsigned int seed)
{
	char head[512];
	size_t first;
	size_t len;

	first = (size_t)snprintf(head, sizeof(head), "HTTP/1.1 200 OK\r\n");
	snprintf(head + first, sizeof(head) - first,
		 "X-Request-Id: %s\r\nX-Response-Signature: %s.%s\r\nContent-Length: %d\r\n",
		 arrival->id, arrival->upstream->id, arrival->id, BODY_BYTES);
	len = first + rand_r(&seed) % (strlen(head) - first);
	record("%s: its answer to %s breaks off after %zu bytes", arrival->upstream->id,
	       arrival->id, len);
	__atomic_add_fetch(&broken_off, 1, __ATOMIC_SEQ_CST);
	send_all(arrival->fd, head, len);
	return false;
}

static bool run(struct arrival *arrival)
{
	static volatile int answers[MACHINES];
	int index = (int)(arrival->upstream - upstreams);
	int invoice = atoi(strrchr(arrival->path, '/') + 1);
	int attempt = atoi(strrchr(arrival->id, '-') + 1);
	int64_t now;
	int number;

	record("%s: runs %s: issues invoice %d", arrival->upstream->id, arrival->id, invoice);
	__atomic_add_fetch(&runs[invoice], 1, __ATOMIC_SEQ_CST);
	__atomic_add_fetch(&attempt_runs[invoice][attempt], 1, __ATOMIC_SEQ_CST);
	wait_ms(WORK_MS);
	now = now_ms();
	if (index < GARBLING && now >= garble_from_ms && now < garble_to_ms) {
		number = __atomic_add_fetch(&answers[index], 1, __ATOMIC_SEQ_CST);
		if (number % GARBLE_EACH == 0)
			return break_off(arrival, (unsigned int)invoice);
	}
	return answer_ok(arrival, BODY_BYTES);
}

static int post_invoice(const struct machine *machine, int invoice, int attempt)
{
	char request[512];
	struct answer answer;

	snprintf(request, sizeof(request),
		 "POST /bill/%d HTTP/1.1\r\nHost: studio.example\r\nX-Request-Id: i%d-%d\r\n"
		 "X-Timeout-Ms: 2500\r\nContent-Length: 0\r\n\r\n",
		 invoice, invoice, attempt);
	answer = ask(machine->outbound_port, request, 3000);
	record("client at %s: i%d-%d: %d", machine->name, invoice, attempt, answer.status);
	if ((answer.status == 503 || answer.status == 429) && attempt_runs[invoice][attempt]) {
		record("REFUSED: i%d-%d was answered %d and has run", invoice, attempt,
		       answer.status);
		__atomic_add_fetch(&refused_after_run, 1, __ATOMIC_SEQ_CST);
	}
	if (answer.status == 200 && answer.whole && answer.body_bytes != BODY_BYTES) {
		record("MIXED: i%d-%d got a complete success with %zu bytes", invoice, attempt,
		       answer.body_bytes);
		__atomic_add_fetch(&empty_successes, 1, __ATOMIC_SEQ_CST);
	}
	return answer.status;
}

/* A client repeats an unsafe request once, after a promise that it has not run. */
static void *send_invoices(void *data)
{
	const struct machine *machine = data;

	while (sending) {
		int invoice = __atomic_add_fetch(&next_invoice, 1, __ATOMIC_SEQ_CST);
		int status;

		if (invoice >= INVOICES_MAX)
			break;
		status = post_invoice(machine, invoice, 0);
		if (status == 503 || status == 429)
			post_invoice(machine, invoice, 1);
		if (runs[invoice] > 1) {
			record("invoice %d was issued %d times", invoice, runs[invoice]);
			__atomic_add_fetch(&issued_twice, 1, __ATOMIC_SEQ_CST);
		}
		wait_ms(PACE_MS);
	}
	return NULL;
}

static const char configuration[] =
	"{\"version\":7,\"services\":[{\"name\":\"registre\",\"health_path\":\"/health\","
	"\"max_connections\":130,\"protocol\":\"h1\",\"tls\":false}],\"limits\":{"
	"\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\"header_timeout_s\":3,"
	"\"idle_timeout_s\":15},\"virtual_hosts\":[{\"host\":\"studio.example\",\"paths\":["
	"{\"name\":\"bill\",\"path_prefix\":\"/bill/\",\"kind\":\"unsafe\",\"timeout_s\":1.5,"
	"\"target_latency_s\":0.6,\"priority\":1,\"service\":\"registre\",\"max_attempts\":2}"
	"]}]}";

static void start_all(void)
{
	char name[16];

	store_start();
	store_put("config", configuration);
	for (int i = 0; i < MACHINES; i++) {
		snprintf(name, sizeof(name), "m%d", i);
		machine_init(&machines[i], name, "fes-a", "registre");
		machine_start(&machines[i], true);
	}
	for (int i = 0; i < MACHINES; i++) {
		snprintf(name, sizeof(name), "i-%d", i);
		upstream_start(&upstreams[i], &machines[i], name, run);
	}
	for (int i = 0; i < MACHINES; i++)
		machine_wait_ready(&machines[i], 15000);
}

int main(void)
{
	pthread_t threads[CLIENTS];

	stand_open("review/1/record.txt");
	start_all();
	for (int i = 0; i < CLIENTS; i++)
		pthread_create(&threads[i], NULL, send_invoices, &machines[i % MACHINES]);
	wait_ms(5000);
	if (next_invoice < 200 || issued_twice)
		give_up("the requests are not served");
	if (trouble()) {
		garble_to_ms = now_ms() + GARBLE_MS;
		garble_from_ms = now_ms();
	}
	wait_ms(GARBLE_MS + 2000);
	sending = false;
	for (int i = 0; i < CLIENTS; i++)
		pthread_join(threads[i], NULL);
	record("broken off: %d, answered 503 or 429 after a run: %d, invoices issued twice: %d",
	       broken_off, refused_after_run, issued_twice);
	printf("%d answers broke off; %d requests that had run were answered 503 or 429; %d of %d "
	       "invoices were issued twice; %d complete successes lack the upstream's body\n",
	       broken_off, refused_after_run, issued_twice, next_invoice, empty_successes);
	stand_close();
	return refused_after_run ? BROKEN : 0;
}
