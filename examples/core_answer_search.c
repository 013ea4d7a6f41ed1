/**
 * @file core_answer_search.c
 * Runs one search through a core without sockets, clock or threads: installs a
 * snapshot with one shard, submits the search, feeds in the leaf's reply and
 * prints each action of the core, the last of which is the answer.
 */
#include <stdio.h>
#include <string.h>

#include "plantainarch.h"

#define LAYOUT_JSON                                                            \
	"{\"index\":\"main\",\"upstream\":\"main\",\"version\":1,"             \
	"\"instances\":[{\"id\":\"m-0\",\"address\":\"127.0.0.1:1\",\"zone\":" \
	"\"a\",\"connections\":10,\"leaves\":1,\"slots\":1,\"connect_us\":0}]" \
	",\"shards\":[[\"m-0/0\"]]}"
#define LEAF_REPLY_JSON                                                        \
	"{\"request\":\"vm1-0-1\",\"attempt\":2,\"index_version\":1,"          \
	"\"shard\":0,\"hits\":[{\"id\":\"loaf\",\"score\":0.9,\"text\":\"one " \
	"sandwich loaf\"}]}"

int
main(void)
{
	core_options_t options = { .seed = 1, .self_id = "vm1" };
	document_t documents[] = { { .name = "settings",
				       .version = 1,
				       .body = "fleet: example\n",
				       .length = 15 },
		{ .name = "index/main",
		    .version = 1,
		    .body = LAYOUT_JSON,
		    .length = sizeof(LAYOUT_JSON) - 1 } };
	member_t self = {
		.id = "vm1", .zone = "a", .address = "127.0.0.1", .threads = 1
	};
	event_t event = { .type = EVENT_FLEET };
	error_info_t error = { 0 };
	action_t action;
	fleet_t *fleet =
	    fleet_create("vm1", 1, documents, 2, &self, 1, NULL, &error);
	core_t *core = core_create(&options);

	event.fleet = fleet;
	core_handle(core, 0, &event);
	event = (event_t){ .type = EVENT_SEARCH,
		.caller = 7,
		.index = "main",
		.text = "loaf",
		.text_length = 4,
		.rank = RANK_URGENT,
		.limit = 10 };
	core_handle(core, 1000, &event);
	while (core_take_action(core, &action)) {
		printf("action %d for %s: %s\n", (int)action.type,
		    action.address, action.body);
		event = (event_t){ .type = EVENT_LEAF_REPLY,
			.job = action.job,
			.status = RUN_OK,
			.body = LEAF_REPLY_JSON,
			.body_length = strlen(LEAF_REPLY_JSON) };
		if (action.type == ACTION_LEAF_SEND)
			core_handle(core, 9000, &event);
		action_clear(&action);
	}
	core_destroy(core);
	fleet_release(fleet);
	return 0;
}
