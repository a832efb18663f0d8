#include "regress/lib/fleet.h"

#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include "base/clock.h"

enum { START_TIMEOUT_MS = 10000, POLL_MS = 20 };

void wait_ms(int ms)
{
	poll(NULL, 0, ms);
}

/*
 * Starts a program. Sets *output, if output is not NULL, to the read end of the program's standard
 * output. Appends its standard error to the file errors_path, if not NULL.
 */
static struct process spawn(char **argv, int *output, const char *errors_path)
{
	struct process process = { 0 };
	int in[2];
	int out[2];

	if (pipe2(in, O_CLOEXEC) != 0 || pipe2(out, O_CLOEXEC) != 0)
		abort();
	process.pid = fork();
	/* A process id of -1 would stand for all processes in waitpid() and kill(). */
	if (process.pid < 0)
		abort();
	if (process.pid == 0) {
		int fd = errors_path ? open(errors_path, O_WRONLY | O_CREAT | O_APPEND, 0644) : -1;

		prctl(PR_SET_PDEATHSIG, SIGKILL);
		dup2(in[0], STDIN_FILENO);
		dup2(out[1], STDOUT_FILENO);
		if (fd >= 0)
			dup2(fd, STDERR_FILENO);
		execv(argv[0], argv);
		_exit(127);
	}
	close(in[0]);
	close(out[1]);
	process.stdin_fd = in[1];
	if (output)
		*output = out[0];
	else
		close(out[0]);
	return process;
}

static int read_port(int fd)
{
	char text[64] = "";
	size_t len = 0;

	while (len < sizeof(text) - 1 && !strchr(text, '\n')) {
		ssize_t n = read(fd, text + len, sizeof(text) - 1 - len);

		if (n <= 0)
			break;
		len += (size_t)n;
		text[len] = '\0';
	}
	close(fd);
	return strncmp(text, "port ", 5) == 0 ? atoi(text + 5) : 0;
}

static void find_programs(struct fleet *fleet)
{
	const char *bin = getenv("GODWITHITCH_BIN");

	g_strlcpy(fleet->bin, bin ? bin : "build/bin", sizeof(fleet->bin));
}

static struct fleet *fleet_start(const char *log_program, int retention_s)
{
	struct fleet *fleet = g_new0(struct fleet, 1);
	char *program;
	char *directory;
	char retention[16];
	char *argv[] = { NULL, "-k", retention, NULL };
	int output;

	signal(SIGPIPE, SIG_IGN);
	find_programs(fleet);
	fleet->log_retention_s = retention_s ? retention_s : 3600;
	directory = g_dir_make_tmp("godwithitch-XXXXXX", NULL);
	if (!directory)
		abort();
	g_strlcpy(fleet->dir, directory, sizeof(fleet->dir));
	g_free(directory);
	program = g_strdup_printf("%s/%s", fleet->bin, log_program);
	argv[0] = program;
	g_snprintf(retention, sizeof(retention), "%d", fleet->log_retention_s);
	fleet->log = spawn(argv, &output, NULL);
	fleet->log_port = read_port(output);
	fleet->nodes_log_port = fleet->log_port;
	g_free(program);
	return fleet;
}

struct fleet *fleet_new(int retention_s)
{
	return fleet_start("logservice", retention_s);
}

struct fleet *fleet_new_platform(void)
{
	return fleet_start("storeservice", 0);
}

void process_signal(struct process *process, int number)
{
	if (process->pid)
		kill(process->pid, number);
}

int process_wait(struct process *process, int timeout_ms)
{
	int64_t deadline_us = clock_now().mono_us + timeout_ms * US_PER_MS;
	int status = 0;

	while (process->pid && waitpid(process->pid, &status, WNOHANG) == 0) {
		if (clock_now().mono_us > deadline_us)
			return -1;
		wait_ms(POLL_MS);
	}
	if (process->pid)
		close(process->stdin_fd);
	process->pid = 0;
	return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
}

void process_kill(struct process *process)
{
	process_signal(process, SIGCONT);
	process_signal(process, SIGKILL);
	process_wait(process, START_TIMEOUT_MS);
}

void fleet_free(struct fleet *fleet)
{
	char *rm_command;

	for (int i = 0; i < fleet->count; i++) {
		process_kill(&fleet->nodes[i].target);
		process_kill(&fleet->nodes[i].daemon);
	}
	process_kill(&fleet->log);
	rm_command = g_strdup_printf("rm -rf %s", fleet->dir);
	if (!getenv("GODWITHITCH_KEEP") && system(rm_command) != 0)
		fprintf(stderr, "cannot remove directory %s\n", fleet->dir);
	g_free(rm_command);
	g_free(fleet);
}

static void write_settings(struct fleet *fleet, int index)
{
	struct fleet_node *node = &fleet->nodes[index];
	struct strbuf seeds = { 0 };
	FILE *file = fopen(node->settings_path, "w");

	for (int i = 0; i < fleet->count; i++)
		if (i != index && fleet->nodes[i].address[0])
			strbuf_addf(&seeds, "%s\"%s\"", seeds.len ? ", " : "",
				    fleet->nodes[i].address);
	fprintf(file,
		"{ // made by a test\n"
		"\"address\": \"127.0.0.1:0\", \"callers\": \"127.0.0.1:0\",\n"
		"\"control\": \"127.0.0.1:0\", \"announce\": \"127.0.0.1:0\",\n"
		"\"data_centre\": \"%s\", \"log\": \"http://127.0.0.1:%d\",\n"
		"%s\n\"log_retention_s\": %d, \"log_file\": \"%s\",\n"
		"\"seeds\": [%.*s], \"fleet\": [\"127.0.0.0/8\"] }\n",
		node->data_centre, fleet->nodes_log_port, fleet->extra_settings,
		fleet->log_retention_s, node->log_path, STR_ARG(strbuf_str(&seeds)));
	fclose(file);
	strbuf_clear(&seeds);
}

static bool parse_address(const char *line, const char *key, char *out)
{
	const char *at = strstr(line, key);

	return at && sscanf(at + strlen(key), "%31[0-9.:]", out) == 1;
}

/* Reads the addresses of a daemon from the line DAEMON_STARTED of its log. */
static bool read_addresses(struct fleet_node *node)
{
	char line[512];
	FILE *file = fopen(node->log_path, "r");
	bool found = false;

	while (file && !found && fgets(line, sizeof(line), file))
		found = strstr(line, "DAEMON_STARTED") && strchr(line, '\n') &&
			parse_address(line, " address=", node->address) &&
			parse_address(line, " callers=", node->caller_address) &&
			parse_address(line, " control=", node->control_address) &&
			parse_address(line, " announce=", node->announce_address);
	if (file)
		fclose(file);
	return found;
}

static void start_node(struct fleet *fleet, int index)
{
	struct fleet_node *node = &fleet->nodes[index];
	char *program = g_strdup_printf("%s/godwithitchd", fleet->bin);
	char *argv[] = { program, "-f", node->settings_path, NULL };
	int64_t deadline_us = clock_now().mono_us + START_TIMEOUT_MS * US_PER_MS;
	char errors_path[160];

	unlink(node->log_path);
	write_settings(fleet, index);
	g_snprintf(errors_path, sizeof(errors_path), "%s.err", node->log_path);
	node->daemon = spawn(argv, NULL, errors_path);
	while (!read_addresses(node)) {
		if (clock_now().mono_us > deadline_us) {
			fprintf(stderr, "%s: the daemon did not start\n", node->settings_path);
			abort();
		}
		wait_ms(POLL_MS);
	}
	g_free(program);
}

int fleet_add_node(struct fleet *fleet, const char *data_centre)
{
	int index = fleet->count++;
	struct fleet_node *node = &fleet->nodes[index];

	g_strlcpy(node->data_centre, data_centre, sizeof(node->data_centre));
	g_snprintf(node->log_path, sizeof(node->log_path), "%s/node%d.log", fleet->dir, index);
	g_snprintf(node->settings_path, sizeof(node->settings_path), "%s/node%d.json", fleet->dir,
		   index);
	start_node(fleet, index);
	return index;
}

void fleet_restart_node(struct fleet *fleet, int index)
{
	fleet->nodes[index].address[0] = '\0';
	start_node(fleet, index);
}

void fleet_add_target(struct fleet *fleet, int index, const char *args)
{
	struct fleet_node *node = &fleet->nodes[index];
	char *line = g_strdup_printf("%s/targetservice -a %s %s", fleet->bin,
				     strchr(node->announce_address, ':') + 1, args);
	char **argv = g_strsplit(line, " ", -1);
	int output;

	node->target = spawn(argv, &output, NULL);
	node->target_port = read_port(output);
	g_strfreev(argv);
	g_free(line);
}

static void add_control_endpoints(struct fleet *fleet, GPtrArray *argv)
{
	/* Adds only the first running node of each data centre. */
	for (int i = 0; i < fleet->count; i++) {
		bool is_first = fleet->nodes[i].daemon.pid != 0;

		for (int j = 0; j < i; j++)
			is_first &= fleet->nodes[j].daemon.pid == 0 ||
				    strcmp(fleet->nodes[i].data_centre,
					   fleet->nodes[j].data_centre) != 0;
		if (!is_first)
			continue;
		g_ptr_array_add(argv, g_strdup("-c"));
		g_ptr_array_add(argv, g_strdup(fleet->nodes[i].control_address));
	}
}

int fleet_tool(struct fleet *fleet, struct strbuf *out, const char *arguments)
{
	GPtrArray *argv = g_ptr_array_new_with_free_func(g_free);
	char **split = g_strsplit(arguments, " ", -1);
	struct process process;
	char buffer[4096];
	char errors_path[96];
	ssize_t n;
	int output;
	int status;

	g_ptr_array_add(argv, g_strdup_printf("%s/godwithitch", fleet->bin));
	add_control_endpoints(fleet, argv);
	g_ptr_array_add(argv, g_strdup("-l"));
	g_ptr_array_add(argv, g_strdup_printf("http://127.0.0.1:%d", fleet->log_port));
	for (int i = 0; split[i]; i++)
		g_ptr_array_add(argv, g_strdup(split[i]));
	g_ptr_array_add(argv, NULL);
	g_snprintf(errors_path, sizeof(errors_path), "%s/tool.err", fleet->dir);
	unlink(errors_path);
	process = spawn((char **)argv->pdata, &output, errors_path);
	while ((n = read(output, buffer, sizeof(buffer))) > 0)
		if (out)
			strbuf_add(out, (struct str){ buffer, (size_t)n });
	close(output);
	status = process_wait(&process, 600000);
	if (out) {
		int fd = open(errors_path, O_RDONLY);

		while (fd >= 0 && (n = read(fd, buffer, sizeof(buffer))) > 0)
			strbuf_add(out, (struct str){ buffer, (size_t)n });
		close(fd);
		strbuf_add(out, (struct str){ "", 1 });
	}
	g_strfreev(split);
	g_ptr_array_unref(argv);
	return status;
}

int fleet_apply(struct fleet *fleet, const char *name, const char *content, struct strbuf *out)
{
	char *path = g_strdup_printf("%s/%s", fleet->dir, name);
	char *arguments = g_strdup_printf("apply %s", path);
	int status;

	g_file_set_contents(path, content, -1, NULL);
	status = fleet_tool(fleet, out, arguments);
	g_free(arguments);
	g_free(path);
	return status;
}

bool fleet_wait_text(struct fleet *fleet, int node, const char *path, const char *text,
		     int timeout_ms)
{
	char *url = g_strdup_printf("http://%s%s", fleet->nodes[node].control_address, path);
	int64_t deadline_us = clock_now().mono_us + timeout_ms * US_PER_MS;
	bool found = false;

	while (!found && clock_now().mono_us < deadline_us) {
		struct http_reply reply = http_get(url);

		strbuf_add(&reply.body, (struct str){ "", 1 });
		found = strstr(reply.body.data, text) != NULL;
		http_reply_clear(&reply);
		if (!found)
			wait_ms(POLL_MS);
	}
	g_free(url);
	return found;
}

bool fleet_wait_live(struct fleet *fleet, int live, int timeout_ms)
{
	char text[32];
	bool all_live = true;

	g_snprintf(text, sizeof(text), "\"live\":%d,", live);
	for (int i = 0; i < fleet->count; i++) {
		if (!fleet->nodes[i].daemon.pid)
			continue;
		all_live &=
			fleet_wait_text(fleet, i, "/v1/status", "\"current\":true", timeout_ms) &&
			fleet_wait_text(fleet, i, "/v1/status", text, timeout_ms);
	}
	return all_live;
}

void fleet_log_fault(struct fleet *fleet, const char *query)
{
	struct http_client *client = http_client_new();
	struct http_options options = { .method = "POST" };
	char *url = g_strdup_printf("http://127.0.0.1:%d/fault?%s", fleet->log_port, query);
	struct http_reply reply = http_do(client, url, &options);

	http_reply_clear(&reply);
	http_client_free(client);
	g_free(url);
}

int64_t fleet_metric(struct fleet *fleet, int node, const char *name)
{
	char *url = g_strdup_printf("http://%s/metrics", fleet->nodes[node].control_address);
	struct http_reply reply = http_get(url);
	int64_t sum = 0;
	char **lines;

	strbuf_add(&reply.body, (struct str){ "", 1 });
	lines = g_strsplit(reply.body.data, "\n", -1);
	for (int i = 0; lines[i]; i++)
		if (g_str_has_prefix(lines[i], name) && lines[i][strlen(name)] == '{')
			sum += atoll(strrchr(lines[i], ' ') + 1);
	g_strfreev(lines);
	http_reply_clear(&reply);
	g_free(url);
	return sum;
}

static void add_run_counts(GHashTable *runs, const char *line)
{
	char **words = g_strsplit(line, " ", 2);
	int count;

	if (words[0] && words[1]) {
		count = GPOINTER_TO_INT(g_hash_table_lookup(runs, words[0])) + atoi(words[1]);
		g_hash_table_insert(runs, g_strdup(words[0]), GINT_TO_POINTER(count));
	}
	g_strfreev(words);
}

GHashTable *fleet_runs(struct fleet *fleet)
{
	GHashTable *runs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);

	for (int i = 0; i < fleet->count; i++) {
		struct http_reply reply;
		char url[64];
		char **lines;

		if (!fleet->nodes[i].target.pid)
			continue;
		g_snprintf(url, sizeof(url), "http://127.0.0.1:%d/admin/counts",
			   fleet->nodes[i].target_port);
		reply = http_get(url);
		strbuf_add(&reply.body, (struct str){ "", 1 });
		lines = g_strsplit(reply.body.data, "\n", -1);
		for (int j = 0; lines[j]; j++)
			add_run_counts(runs, lines[j]);
		g_strfreev(lines);
		http_reply_clear(&reply);
	}
	return runs;
}
