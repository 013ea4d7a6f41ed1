/**
 * @file pool_reconnect.c
 * A request that is sent again to the same leaf while the pool reports that its
 * connection failed must get a connection, and an outcome, of its own.
 */
#include <netinet/in.h>
#include <stdio.h>
#include <sys/socket.h>
#include <unistd.h>

#include "tier_process.h"

#define ATTEMPTS   3
#define TIMEOUT_US 5000000

typedef struct pool_world {
	loop_t *loop;
	pool_t *pool;
	http_message_t request;
	tier_leaf_t leaf;
	int64_t rtt_us, due_us;
	tier_attempt_t attempts[ATTEMPTS];
	tier_request_info_t info;
	int sent_count, outcomes[ATTEMPTS];
} pool_world_t;

static void
write_nothing(
    GString *out, const http_message_t *request, const tier_attempt_t *attempt)
{
	g_string_append(out, "GET / HTTP/1.1\r\n\r\n");
}

static const protocol_t protocol = { .write_leaf_request = write_nothing };

static void
send_next(pool_world_t *world)
{
	tier_attempt_t *attempt = &world->attempts[world->sent_count++];

	attempt->leaf = &world->leaf;
	attempt->info = &world->info;
	attempt->sent_us = clock_get_us();
	pool_send(world->pool, attempt);
}

static void
handle_answer(
    void *context, tier_attempt_t *attempt, const leaf_answer_t *answer)
{
	pool_world_t *world = context;

	world->outcomes[attempt - world->attempts] =
	    answer->outcome == OUTCOME_UNSENT ? 1 : -1;
	if (world->sent_count < ATTEMPTS)
		send_next(world);
	else
		loop_stop(world->loop);
}

static const http_message_t *
get_request(void *context, void *caller)
{
	return &((pool_world_t *)context)->request;
}

static int64_t
run_timer(void *context)
{
	pool_world_t *world = context;

	if (clock_get_us() >= world->due_us)
		loop_stop(world->loop);
	return world->due_us;
}

/* A port of this machine that nobody listens on. */
static int
find_closed_port(void)
{
	struct sockaddr_in address = { .sin_family = AF_INET,
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	socklen_t length = sizeof(address);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	if (bind(fd, (struct sockaddr *)&address, length) != 0 ||
	    getsockname(fd, (struct sockaddr *)&address, &length) != 0)
		g_error("cannot find a port");
	close(fd);
	return ntohs(address.sin_port);
}

int
main(void)
{
	pool_world_t world = { .info = { .id = "r" }, .rtt_us = 1000 };
	pool_callbacks_t callbacks = { &world, handle_answer, NULL,
		get_request };
	bool is_good = true;

	world.loop = loop_create();
	world.pool = pool_create(world.loop, &protocol, &callbacks);
	world.leaf.rtt_us = &world.rtt_us;
	world.due_us = clock_get_us() + TIMEOUT_US;
	g_snprintf(world.leaf.entry.address, sizeof(world.leaf.entry.address),
	    "127.0.0.1:%d", find_closed_port());
	http_message_begin(&world.request, true, 1024, 1024);
	loop_add_timer(world.loop, run_timer, &world);
	send_next(&world);
	loop_run(world.loop);
	for (int i = 0; i < ATTEMPTS; i++) {
		if (world.outcomes[i] == 1)
			continue;
		printf("  FAIL: attempt %d: %s\n", i + 1,
		    world.outcomes[i] == 0 ? "no outcome" : "another outcome");
		is_good = false;
	}
	pool_remove_leaf(world.pool, &world.leaf);
	pool_destroy(world.pool);
	loop_remove_timer(world.loop, run_timer, &world);
	loop_destroy(world.loop);
	http_message_end(&world.request);
	if (is_good)
		printf("each attempt had its own outcome\n");
	return is_good ? 0 : 1;
}
