/*
 * Metrics: name, exported name, meaning. Define METRIC, and HISTOGRAM for the
 * histograms, before inclusion.
 */
METRIC(METRIC_QUERIES, "queries_total", "searches received")
METRIC(METRIC_QUERIES_ANSWERED, "queries_answered_total",
    "searches answered with status 200")
METRIC(METRIC_QUERIES_REFUSED, "queries_refused_total",
    "searches refused before any leaf request")
METRIC(METRIC_QUERIES_PARTIAL, "queries_partial_total",
    "searches answered with coverage below 1")
METRIC(METRIC_QUERIES_RESTARTED, "queries_restarted_total",
    "searches restarted on a newer index version")
METRIC(METRIC_LEAF_REQUESTS, "leaf_requests_total", "requests sent to leaves")
METRIC(METRIC_LEAF_SHED, "leaf_shed_total", "requests that a leaf shed")
METRIC(METRIC_LEAF_CANCELLED, "leaf_cancelled_total",
    "cancellations sent to leaves")
METRIC(METRIC_HEDGES, "hedges_total",
    "second attempts sent before the first one failed")
METRIC(METRIC_RETRIES, "retries_total", "attempts retried after a failure")
METRIC(METRIC_REPLIES_DROPPED, "replies_dropped_total",
    "late, mismatched or duplicate replies dropped")
METRIC(METRIC_HOME_FAILOVERS, "home_failovers_total",
    "attempts moved from a relay (home VM) that timed out to the next")
METRIC(METRIC_ORDERS, "orders_total", "orders received")
METRIC(METRIC_ORDERS_DONE, "orders_done_total", "orders answered done")
METRIC(METRIC_ORDERS_NOT_RUN, "orders_not_run_total", "orders answered not_run")
METRIC(METRIC_ORDERS_UNKNOWN, "orders_unknown_total", "orders answered unknown")
METRIC(METRIC_INVARIANT_VIOLATIONS, "invariant_violations_total",
    "requests refused because an invariant would have been violated")
METRIC(METRIC_BAD_REQUESTS, "bad_requests_total",
    "caller requests that were refused as malformed")
METRIC(METRIC_PEER_REJECTED, "peer_rejected_total",
    "peer connections or messages that were rejected")
METRIC(METRIC_PEER_BYTES, "peer_bytes_total",
    "bytes of traffic messages sent to peers")
METRIC(METRIC_CONTROL_BYTES, "control_bytes_total",
    "bytes of control messages sent to peers")
METRIC(METRIC_CONTROL_CPU_US, "control_cpu_us",
    "CPU time of the control thread in microseconds")
METRIC(METRIC_PLATFORM_READS, "platform_reads_total",
    "reads and watches sent to the platform")
METRIC(METRIC_PLATFORM_WRITES, "platform_writes_total",
    "conditional updates sent to the platform")
METRIC(METRIC_PLATFORM_WRITE_CONFLICTS, "platform_conflicts_total",
    "conditional updates that found another version")
METRIC(METRIC_SETTINGS_VERSION, "settings_version",
    "version of the settings in effect")
METRIC(METRIC_MEMBERS_ALIVE, "members_alive",
    "members in the state alive, including this VM")
METRIC(METRIC_TIER_REQUESTS, "tier_requests_total",
    "caller requests, including those that name no route")
METRIC(
    METRIC_TIER_SERVED, "tier_served_total", "requests answered with success")
METRIC(METRIC_TIER_PARTIAL, "tier_partial_total",
    "gathered answers with missing shards")
METRIC(METRIC_TIER_REFUSED, "tier_refused_total",
    "requests refused before any leaf can have run them")
METRIC(METRIC_TIER_FAILED, "tier_failed_total",
    "requests that leafs failed or did not answer")
METRIC(METRIC_TIER_LEAF_REQUESTS, "tier_leaf_requests_total",
    "requests sent to leafs, including hedges and retries")
METRIC(
    METRIC_TIER_EXTRA_ATTEMPTS, "tier_extra_total", "hedges and retries sent")
METRIC(METRIC_TIER_BUDGET_EMPTY, "tier_budget_empty_total",
    "hedges and retries that the budget did not allow")
METRIC(METRIC_TIER_LEAVES_LEAVING, "tier_leafs_leaving_total",
    "leafs that said in an answer that they leave")
METRIC(METRIC_TIER_TIME_ASKED, "tier_time_asked_total",
    "refusals of leafs that asked for time")
METRIC(METRIC_TIER_ANSWERS_WITHOUT_ID, "tier_answers_without_id_total",
    "answers of leafs that name no request")
METRIC(METRIC_TIER_CONNECTIONS_OPENED, "tier_connections_opened_total",
    "connections opened to leafs")
METRIC(METRIC_TIER_CONFIGURATION_VERSION, "tier_configuration_version",
    "version of the configuration in effect")
METRIC(METRIC_TIER_VMS, "tier_vms", "VMs of the tier that are alive")
METRIC(METRIC_TIER_VIEW, "tier_view",
    "source of the view: 0 none, 1 another VM, 2 the store, 3 it reads for "
    "others")
METRIC(METRIC_TIER_STORE_CALLS, "tier_store_calls_total",
    "calls to the platform's store")
METRIC(METRIC_TIER_READER_CALLS, "tier_reader_calls_total",
    "calls to another VM that reads the store")
METRIC(METRIC_TIER_STORE_FAILURES, "tier_store_failures_total",
    "calls to the platform's store that failed or returned no valid response")
METRIC(METRIC_TIER_STORE_EPOCH, "tier_store_epoch",
    "epoch of the platform's store; it rises when an older copy is restored")
METRIC(METRIC_TIER_STORE_RETURNS, "tier_store_returns_total",
    "times that the platform's store came back from an older copy")
METRIC(METRIC_TIER_CALLERS_TURNED_AWAY, "tier_callers_turned_away_total",
    "caller connections closed because the connection limit was reached")
METRIC(METRIC_LOG_DROPPED, "log_dropped_total",
    "log lines dropped because of the rate limits or a full buffer")
#ifndef HISTOGRAM
#define HISTOGRAM(name, text, help)
#endif
HISTOGRAM(HISTOGRAM_TIER_REQUEST_RANK_0, "tier_request_rank0_seconds",
    "response time of requests of rank 0, the most urgent")
HISTOGRAM(HISTOGRAM_TIER_REQUEST_RANK_1, "tier_request_rank1_seconds",
    "response time of requests of rank 1")
HISTOGRAM(HISTOGRAM_TIER_REQUEST_RANK_2, "tier_request_rank2_seconds",
    "response time of requests of rank 2")
HISTOGRAM(HISTOGRAM_TIER_REQUEST_RANK_3, "tier_request_rank3_seconds",
    "response time of requests of rank 3 and less urgent ranks")
HISTOGRAM(HISTOGRAM_TIER_LEAF, "tier_leaf_seconds",
    "time from the start of an attempt to the response of its leaf")
HISTOGRAM(HISTOGRAM_TIER_STORE, "tier_store_seconds",
    "duration of calls to the platform's store, except watches")
#undef HISTOGRAM
