/* Case 4: one heartbeat of another writer takes an upstream out of service for good. */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "review/lib/stand.h"

enum {
	MACHINES = 3,
	WORK_MS = 40,
	PACE_MS = 40,
	DOWN_MS = 1000,	    /* as in the site's final faults */
	RECOVER_MS = 15000, /* recover_s of the site */
	JUDGED_MS = 6000,
	BROKEN = 1,
};

/** Requests in a span of the day. */
struct count {
	int sent;
	int served;
};

static struct machine machines[MACHINES];
static struct upstream upstreams[MACHINES];
static pthread_mutex_t count_lock = PTHREAD_MUTEX_INITIALIZER;
static struct count before;
static struct count after;
static int64_t fault_ms = INT64_MAX;
static int64_t judged_from_ms = INT64_MAX;
static volatile bool sending = true;

static bool run(struct arrival *arrival)
{
	record("%s: runs %s", arrival->upstream->id, arrival->id);
	wait_ms(WORK_MS);
	return answer_ok(arrival, 500);
}

static void count(int64_t sent_ms, bool served)
{
	struct count *counted = NULL;

	pthread_mutex_lock(&count_lock);
	if (sent_ms < fault_ms)
		counted = &before;
	else if (sent_ms >= judged_from_ms)
		counted = &after;
	if (counted) {
		counted->sent++;
		counted->served += served;
	}
	pthread_mutex_unlock(&count_lock);
}

static void *send_requests(void *data)
{
	const struct machine *machine = data;

	for (int i = 0; sending; i++) {
		char request[512];
		struct answer answer;
		int64_t sent_ms = now_ms();

		snprintf(request, sizeof(request),
			 "GET /read/%d HTTP/1.1\r\nHost: studio.example\r\nX-Request-Id: %s-%d\r\n"
			 "X-Timeout-Ms: 2000\r\n\r\n",
			 i, machine->name, i);
		answer = ask(machine->outbound_port, request, 2500);
		record("client at %s: %s-%d: %d", machine->name, machine->name, i, answer.status);
		count(sent_ms, answer.status == 200 && answer.whole);
		wait_ms(PACE_MS);
	}
	return NULL;
}

/* A service that no configuration names; its agent started after the upstream. */
static void beat_of_another_writer(const struct machine *machine)
{
	char body[512];

	snprintf(body, sizeof(body),
		 "{\"service\":\"inventaire\",\"address\":\"127.0.0.1:9\",\"zone\":\"%s\","
		 "\"version\":\"v1\",\"capacity\":4,\"state\":\"ready\",\"warmup_left_s\":0,"
		 "\"sequence\":1,\"born\":%lld}",
		 machine->zone, (long long)wall_ms());
	record("another writer: a heartbeat at %s: %d", machine->name,
	       post_json(machine->control_port, "/instances/x-1/heartbeat", body));
}

static const char configuration[] =
	"{\"version\":%d,\"services\":[{\"name\":\"registre\",\"health_path\":\"/health\","
	"\"max_connections\":130,\"protocol\":\"h1\",\"tls\":false}],\"limits\":{"
	"\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\"header_timeout_s\":3,"
	"\"idle_timeout_s\":15},\"virtual_hosts\":[{\"host\":\"studio.example\",\"paths\":["
	"{\"name\":\"read\",\"path_prefix\":\"/read/\",\"kind\":\"safe\",\"timeout_s\":1.5,"
	"\"target_latency_s\":0.5,\"priority\":2,\"service\":\"registre\",\"max_attempts\":2}"
	"]}]}";

static void put_configuration(int version)
{
	char text[2048];

	snprintf(text, sizeof(text), configuration, version); /* NOLINT */
	store_put("config", text);
}

static void start_all(void)
{
	pthread_t thread;
	char name[16];

	store_start();
	put_configuration(7);
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
	for (int i = 0; i < MACHINES; i++)
		pthread_create(&thread, NULL, send_requests, &machines[i]);
}

/* The final fault of the site: all processes are killed right after a configuration. */
static void final_fault(void)
{
	put_configuration(9);
	fault_ms = now_ms();
	for (int i = 0; i < MACHINES; i++)
		machine_signal(&machines[i], SIGKILL);
	wait_ms(DOWN_MS);
	for (int i = 0; i < MACHINES; i++)
		machine_start(&machines[i], false);
	judged_from_ms = now_ms() + RECOVER_MS;
}

int main(void)
{
	stand_open("review/4/record.txt");
	start_all();
	wait_ms(5000);
	final_fault();
	wait_ms(3000);
	for (int i = 0; i < MACHINES && trouble(); i++)
		beat_of_another_writer(&machines[i]);
	wait_until_ms(judged_from_ms + JUDGED_MS);
	sending = false;
	wait_ms(3000);
	record("before the final fault %d of %d were served, from recover_s after it %d of %d",
	       before.served, before.sent, after.served, after.sent);
	printf("before the final fault %d of %d were served, from recover_s after it %d of %d\n",
	       before.served, before.sent, after.served, after.sent);
	stand_close();
	if (before.served * 4 < before.sent || after.sent < 20)
		return CANNOT_RUN;
	return after.served * 4 < after.sent ? BROKEN : 0;
}
