/* Case 3: an upstream that falls silent stops the whole daemon beside it. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "review/stand.h"

enum {
	MACHINES = 14,	   /* as on the site */
	CLIENTS = 6,	   /* at each machine */
	TIMEOUT_MS = 1500, /* timeout_s of the route */
	LATE_MS = 500,
	LATE_MIN = 8, /* of the rule */
	DARK_AT_MS = 9000,
	JUDGED_MS = 20000,
	WORK_MS = 40,
	PACE_MS = 30,
	BROKEN = 1,
};

static struct machine machines[MACHINES];
static struct upstream upstreams[MACHINES];
static volatile int64_t judged_from_ms = INT64_MAX;
static volatile int served;
static volatile int at_timeout;
static volatile int never;
static volatile int ready_answers;
static volatile bool sending = true;

static bool run(struct arrival *arrival)
{
	wait_ms(WORK_MS);
	return answer_ok(arrival, 500);
}

static void *send_requests(void *data)
{
	const struct machine *machine = data;

	for (int i = 0; sending; i++) {
		char request[512];
		struct answer answer;
		int64_t sent_ms = now_ms();
		int64_t took_ms;

		snprintf(request, sizeof(request),
			 "GET /read/x HTTP/1.1\r\nHost: studio.example\r\nX-Request-Id: "
			 "%s-%d-%lx\r\n"
			 "X-Timeout-Ms: 3000\r\n\r\n",
			 machine->name, i, (unsigned long)pthread_self());
		answer = ask(machine->outbound_port, request, TIMEOUT_MS + LATE_MS + 1000);
		took_ms = now_ms() - sent_ms;
		record("client at %s: %d after %d ms", machine->name, answer.status, (int)took_ms);
		served += answer.status == 200;
		if (sent_ms > judged_from_ms && sending && took_ms >= TIMEOUT_MS) {
			__atomic_add_fetch(&at_timeout, 1, __ATOMIC_SEQ_CST);
			if (took_ms > TIMEOUT_MS + LATE_MS)
				__atomic_add_fetch(&never, 1, __ATOMIC_SEQ_CST);
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
	"{\"name\":\"read\",\"path_prefix\":\"/read/\",\"kind\":\"safe\",\"timeout_s\":1.5,"
	"\"target_latency_s\":0.5,\"priority\":2,\"service\":\"registre\",\"max_attempts\":2}"
	"]}]}";

static void start_all(void)
{
	pthread_t thread;
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
	for (int i = 0; i < MACHINES * CLIENTS; i++)
		pthread_create(&thread, NULL, send_requests, &machines[i % MACHINES]);
}

int main(void)
{
	stand_open("review/3/record.txt");
	start_all();
	wait_until_ms(DARK_AT_MS);
	if (served < 200)
		give_up("the requests are not served");
	judged_from_ms = now_ms();
	if (trouble())
		upstream_go_silent(&upstreams[0]);
	for (int i = 0; i < JUDGED_MS / 1000; i++) {
		struct answer ready =
			ask(machines[0].ready_port,
			    "GET /readyz HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n", 1000);
		record("the platform asks m0: %d", ready.status);
		ready_answers += ready.status == 200;
		wait_ms(1000);
	}
	sending = false;
	wait_ms(4000);
	record("longer than timeout_s: %d, without an answer half a second later: %d", at_timeout,
	       never);
	printf("%d requests lasted longer than timeout_s, %d had no answer half a second later; m0 "
	       "said %d times of %d that it is ready\n",
	       at_timeout, never, ready_answers, JUDGED_MS / 1000);
	stand_close();
	return never >= LATE_MIN && never * 4 > at_timeout ? BROKEN : 0;
}
