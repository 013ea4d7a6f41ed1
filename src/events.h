/* Log events: number, name, level, meaning. Define LOG_EVENT first. */
LOG_EVENT(100, LOG_SERVER_STARTED, G_LOG_LEVEL_MESSAGE,
    "the process accepts connections from callers and peers")
LOG_EVENT(101, LOG_SERVER_READY, G_LOG_LEVEL_MESSAGE,
    "settings are loaded; the VM accepts requests")
LOG_EVENT(102, LOG_SERVER_STOPPING, G_LOG_LEVEL_MESSAGE,
    "a stop was requested; readiness is false, requests are still served")
LOG_EVENT(103, LOG_SERVER_STOPPED, G_LOG_LEVEL_MESSAGE,
    "all requests are finished and the process exits")
LOG_EVENT(104, LOG_SERVER_FAILED, G_LOG_LEVEL_WARNING,
    "the process cannot start or continue")
LOG_EVENT(200, LOG_QUERY_ADMITTED, G_LOG_LEVEL_INFO,
    "a query was admitted and pinned to an index version")
LOG_EVENT(201, LOG_QUERY_REFUSED, G_LOG_LEVEL_INFO,
    "a query was refused before any leaf request was sent")
LOG_EVENT(202, LOG_QUERY_ROUTED, G_LOG_LEVEL_INFO,
    "a leaf attempt was routed to a replica through a relay (home VM)")
LOG_EVENT(203, LOG_QUERY_HEDGED, G_LOG_LEVEL_INFO,
    "a hedge was sent to another replica")
LOG_EVENT(204, LOG_QUERY_RETRIED, G_LOG_LEVEL_INFO,
    "a failed attempt was retried on another replica")
LOG_EVENT(205, LOG_QUERY_ANSWERED, G_LOG_LEVEL_INFO,
    "a query was answered, with its coverage")
LOG_EVENT(206, LOG_QUERY_RESTARTED, G_LOG_LEVEL_INFO,
    "a query was restarted on a newer index version")
LOG_EVENT(207, LOG_REPLY_DROPPED, G_LOG_LEVEL_INFO,
    "a late, mismatched or duplicate reply was dropped")
LOG_EVENT(208, LOG_HOME_FAILED_OVER, G_LOG_LEVEL_INFO,
    "a relay (home VM) timed out; the attempt moved to the next one")
LOG_EVENT(209, LOG_QUERY_GONE, G_LOG_LEVEL_INFO,
    "the caller disconnected; its leaf requests were cancelled")
LOG_EVENT(220, LOG_LEAF_EJECTED, G_LOG_LEVEL_MESSAGE,
    "a leaf was ejected from routing because of failures or latency")
LOG_EVENT(221, LOG_LEAF_RETURNED, G_LOG_LEVEL_MESSAGE,
    "an ejected leaf responds again and was returned to routing")
LOG_EVENT(222, LOG_LEAF_LIMIT, G_LOG_LEVEL_DEBUG,
    "the concurrency limit of a leaf changed")
LOG_EVENT(223, LOG_UPSTREAM_LEAVING, G_LOG_LEVEL_MESSAGE,
    "an upstream instance is draining; it receives no new requests")
LOG_EVENT(300, LOG_ORDER_CLAIMED, G_LOG_LEVEL_INFO,
    "an idempotency key was claimed, or was already claimed")
LOG_EVENT(301, LOG_ORDER_SENT, G_LOG_LEVEL_INFO,
    "an order was sent upstream; it is not sent again")
LOG_EVENT(302, LOG_ORDER_ANSWERED, G_LOG_LEVEL_INFO,
    "an order was answered: done, not_run or unknown")
LOG_EVENT(400, LOG_CONTROL_MEMBER, G_LOG_LEVEL_MESSAGE,
    "a member joined or changed its state")
LOG_EVENT(401, LOG_CONTROL_DOCUMENT, G_LOG_LEVEL_MESSAGE,
    "a newer document is in effect on this VM")
LOG_EVENT(402, LOG_CONTROL_WATCHER, G_LOG_LEVEL_MESSAGE,
    "this VM started or stopped watching the platform")
LOG_EVENT(403, LOG_CONTROL_REJECTED, G_LOG_LEVEL_WARNING,
    "a control message could not be decoded and was dropped")
LOG_EVENT(404, LOG_CONTROL_BAD_DOCUMENT, G_LOG_LEVEL_WARNING,
    "a document does not parse; the previous one stays in effect")
LOG_EVENT(405, LOG_PLATFORM_FAILED, G_LOG_LEVEL_INFO,
    "a call to the platform failed; it is retried with backoff")
LOG_EVENT(406, LOG_PLATFORM_BAD_ENTRY, G_LOG_LEVEL_WARNING,
    "entries of a list of the platform are not valid and are ignored")
LOG_EVENT(500, LOG_INVARIANT_SNAPSHOT, G_LOG_LEVEL_WARNING,
    "invariant: a reply of another index version was about to be merged")
LOG_EVENT(501, LOG_INVARIANT_COVERAGE, G_LOG_LEVEL_WARNING,
    "invariant: the coverage did not equal the distinct shards merged")
LOG_EVENT(502, LOG_INVARIANT_ANSWER, G_LOG_LEVEL_WARNING,
    "invariant: an answer was about to go to another request, or twice")
LOG_EVENT(503, LOG_INVARIANT_NOT_RUN, G_LOG_LEVEL_WARNING,
    "invariant: not_run was about to be reported for a request that was sent")
LOG_EVENT(504, LOG_INVARIANT_ORDER, G_LOG_LEVEL_WARNING,
    "invariant: an order was about to be sent a second time")
LOG_EVENT(505, LOG_INVARIANT_REVERT, G_LOG_LEVEL_WARNING,
    "invariant: an older document was about to replace a newer one")
LOG_EVENT(600, LOG_TIER_STARTED, G_LOG_LEVEL_MESSAGE,
    "the process of this VM has started")
LOG_EVENT(601, LOG_TIER_READY, G_LOG_LEVEL_MESSAGE,
    "the configuration and the leafs are loaded; callers are served")
LOG_EVENT(602, LOG_TIER_STOPPING, G_LOG_LEVEL_MESSAGE,
    "a stop was requested; readiness is false, requests are still served")
LOG_EVENT(603, LOG_TIER_STOPPED, G_LOG_LEVEL_MESSAGE,
    "the process exits; a field counts the requests left unanswered")
LOG_EVENT(604, LOG_TIER_RELOADED, G_LOG_LEVEL_MESSAGE,
    "the settings file was reloaded")
LOG_EVENT(605, LOG_TIER_FROZEN, G_LOG_LEVEL_WARNING,
    "the process did not run for a period; fields state how long")
LOG_EVENT(610, LOG_TIER_CONFIGURATION, G_LOG_LEVEL_MESSAGE,
    "a newer configuration is in effect on this VM")
LOG_EVENT(611, LOG_TIER_LEAF, G_LOG_LEVEL_MESSAGE,
    "a leaf was added, replaced or removed, or is draining")
LOG_EVENT(612, LOG_TIER_BAD_OBJECT, G_LOG_LEVEL_WARNING,
    "an object in the store is not valid and is ignored; valid ones stay")
LOG_EVENT(613, LOG_TIER_STALE, G_LOG_LEVEL_WARNING,
    "the store returned an older configuration than the one in effect")
LOG_EVENT(614, LOG_TIER_STORE_LOST, G_LOG_LEVEL_WARNING,
    "reading a feed of the store failed; it is retried with backoff")
LOG_EVENT(615, LOG_TIER_STORE_REGAINED, G_LOG_LEVEL_MESSAGE,
    "a feed of the store can be read again")
LOG_EVENT(616, LOG_TIER_STORE_READ, G_LOG_LEVEL_MESSAGE,
    "a list or the changes of a feed were read up to a revision")
LOG_EVENT(617, LOG_TIER_LEAFS, G_LOG_LEVEL_MESSAGE,
    "more leafs changed at once than are logged individually")
LOG_EVENT(618, LOG_TIER_VIEW, G_LOG_LEVEL_MESSAGE,
    "the source of this VM's view changed: the store, or another VM")
LOG_EVENT(619, LOG_TIER_FOLLOWER_REJECTED, G_LOG_LEVEL_WARNING,
    "a call of another VM for this VM's view was invalid; it was closed")
LOG_EVENT(620, LOG_TIER_SERVED, G_LOG_LEVEL_INFO,
    "a request was answered completely, in time and without extra attempts")
LOG_EVENT(621, LOG_TIER_SERVED_OTHERWISE, G_LOG_LEVEL_MESSAGE,
    "a request ended late, partial, hedged, refused or failed")
LOG_EVENT(622, LOG_TIER_ATTEMPT_FAILED, G_LOG_LEVEL_MESSAGE,
    "an attempt failed or was not answered by its leaf")
LOG_EVENT(623, LOG_TIER_NOT_RETRIED, G_LOG_LEVEL_MESSAGE,
    "a failed attempt was not retried; a field states the reason")
LOG_EVENT(624, LOG_TIER_RETRIED, G_LOG_LEVEL_MESSAGE,
    "a failed attempt was retried on another leaf, or is queued for one")
LOG_EVENT(625, LOG_TIER_MISSING, G_LOG_LEVEL_MESSAGE,
    "a part is missing from an answer; fields state what it was waiting for")
LOG_EVENT(626, LOG_TIER_REFUSED, G_LOG_LEVEL_MESSAGE,
    "a request was refused before anything was sent: its parts would queue")
LOG_EVENT(627, LOG_TIER_HEDGED, G_LOG_LEVEL_MESSAGE,
    "a part with an overdue leaf was hedged, or the reason why it was not")
LOG_EVENT(628, LOG_TIER_HEALTH, G_LOG_LEVEL_MESSAGE,
    "a leaf's responses changed its state to stalled, down or healthy")
LOG_EVENT(629, LOG_TIER_SERVED_SAMPLE, G_LOG_LEVEL_MESSAGE,
    "a sample, 1 in 100, of the requests that LOG_TIER_SERVED reports")
LOG_EVENT(630, LOG_TIER_ENDLESS_ANSWER, G_LOG_LEVEL_WARNING,
    "a leaf sent more than an answer may hold; its connection was closed")
LOG_EVENT(631, LOG_TIER_ENTRY_REMOVED, G_LOG_LEVEL_MESSAGE,
    "a leaf's entry was removed; fields state its greatest age and the grace")
LOG_EVENT(632, LOG_TIER_LEAF_LEAVING, G_LOG_LEVEL_MESSAGE,
    "a leaf said in an answer that it leaves; nothing is sent after until_us")
LOG_EVENT(633, LOG_TIER_LEAF_ASKS_TIME, G_LOG_LEVEL_MESSAGE,
    "a leaf refused a request and wants none for the stated time")
LOG_EVENT(634, LOG_TIER_BAD_HEADER, G_LOG_LEVEL_WARNING,
    "a header of a leaf has a value that is not understood; it is ignored")
LOG_EVENT(635, LOG_TIER_ANSWER_WITHOUT_ID, G_LOG_LEVEL_WARNING,
    "a leaf's answer names no request; the answer is waited for, not for long")
LOG_EVENT(636, LOG_TIER_STORE_EPOCH, G_LOG_LEVEL_MESSAGE,
    "the store came back from an older copy; all feeds are listed again")
LOG_EVENT(637, LOG_TIER_BAD_EPOCH, G_LOG_LEVEL_WARNING,
    "the epoch in an answer is not a number; it counts as unchanged")
LOG_EVENT(638, LOG_TIER_ENTRY_HELD, G_LOG_LEVEL_MESSAGE,
    "the entry of a leaf that had gone came back with an older copy")
LOG_EVENT(639, LOG_TIER_WATCH_SILENT, G_LOG_LEVEL_WARNING,
    "a watch of the store did not tell of changes; it was sent again")
LOG_EVENT(690, LOG_LINES_DROPPED, G_LOG_LEVEL_WARNING,
    "log lines of one event were dropped in a second; a field counts them")
