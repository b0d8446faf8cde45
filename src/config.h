/** @file
    Compile-time constants: limits, intervals and time-outs.  */
#ifndef CONFIG_H
#define CONFIG_H

/* Fleet key: the secret that all VMs share.  */
#define FLEET_KEY_MIN_BYTES 16

/* Messages between VMs: frames over TCP, gossip datagrams over UDP.  */
#define FRAME_VERSION 1
#define FRAME_MAX_BYTES (16U * 1024 * 1024)
#define GOSSIP_MAX_BYTES 1400

/* TCP connections between VMs.  */
#define PEER_PING_INTERVAL_MS 1000
/* A peer that sends nothing for this long counts as unresponsive.  */
#define PEER_UNRESPONSIVE_MS 3000
#define PEER_CONNECT_TIMEOUT_MS 2000

/* Connections of callers: longest time from the first byte of a request to its
   last.  */
#define CALLER_READ_TIMEOUT_MS 10000

/* Membership by gossip: probes, suspicion, dissemination of changes.  */
#define MEMBERS_PROBE_INTERVAL_MS 500
#define MEMBERS_PROBE_TIMEOUT_MS 200
/* Members asked to probe a member that did not reply in time.  */
#define MEMBERS_INDIRECT_PROBES 3
/* A suspect that does not refute in this time is declared dead.  */
#define MEMBERS_SUSPECT_MS 2300
/* A change is pushed in this many rounds, to FANOUT members each, besides the
   probes that carry it.  */
#define MEMBERS_PUSH_ROUNDS 3
#define MEMBERS_PUSH_FANOUT 3
/* A longer gap between two timer calls means that this process was paused:
   probes under way are dropped, and suspects get their full time again.  */
#define MEMBERS_PAUSE_THRESHOLD_MS 1000
#define MEMBERS_SYNC_INTERVAL_MS 5000
/* Dead members are removed after this time.  */
#define MEMBERS_DEAD_KEPT_MS 60000
/* VMs of a failure domain that exchange gossip with other regions.  */
#define MEMBERS_BRIDGES_PER_DOMAIN 2
#define MEMBERS_JOIN_RETRY_MS 1000
/* Times that a change is sent: this factor times log2 of the group's size.  */
#define MEMBERS_RESEND_FACTOR 2

/* Polls of engines, their load digests, streams and queues.  */
#define ENGINE_POLL_INTERVAL_MS 1000
/* An engine without a report for this long counts as unresponsive.  */
#define ENGINE_UNRESPONSIVE_MS 8000
#define ENGINE_DIGEST_INTERVAL_MS 2000
/* A stream without data for this long is resumed on a new connection, at most
   ENGINE_RESUME_ATTEMPTS_MAX times without an event in between.  */
#define ENGINE_STREAM_STALL_MS 3000
#define ENGINE_RESUME_ATTEMPTS_MAX 3
#define ENGINE_DEFAULT_PREFILL_TOKENS_PER_S 60000
#define ENGINE_BATCH_MAX 64
#define ENGINE_QUEUE_MAX 256

/* Placement of model requests: an engine is chosen while its load is within
   this percentage of the mean, and the prefix is hashed over this much of the
   prompt.  */
#define ROUTE_LOAD_BOUND_PERCENT 125
#define ROUTE_PREFIX_BYTES 1024

/* Journal of idempotency keys, one key-value entry (page) for each slot.  */
#define JOURNAL_SLOTS 64
#define JOURNAL_TICK_MS 10
#define JOURNAL_FLEET_WRITES_PER_S 240
#define JOURNAL_VM_WRITES_PER_S_MAX 50
/* How long after the service's time-out a late response is still awaited, so
   that its outcome can be recorded.  */
#define JOURNAL_LATE_RESPONSE_MS 30000
/* The key-value service may be silent for 4 s and go on.  */
#define JOURNAL_KV_SILENCE_MS 5000
#define JOURNAL_KV_RETRY_MS 250
/* A writer may be silent for 4 s and go on, and a killed one counts as live
   for 5 s.  */
#define JOURNAL_AWAIT_MS 5000
#define JOURNAL_AWAIT_INTERVAL_MS 250
#define JOURNAL_PAGE_MAX_BYTES (700U * 1024)
#define JOURNAL_BODY_MAX_BYTES (16U * 1024)

/* Calls to plain services.  */
#define CALL_BODY_MAX_BYTES (1024U * 1024)
#define CALL_PATH_MAX_BYTES 1024U

/* Orders to engines: change of role or model version.  */
#define ORDER_RESEND_MS 1000
/* Interval at which the order holder reads the stored page again.  */
#define ORDER_PAGE_REREAD_INTERVAL_MS 10000
/* At most 1/4 of a group's engines, and at least one, change at once.  */
#define ORDER_GROUP_DIVISOR 4
/* Interval at which the order holder polls engines that have no unfinished
   order.  */
#define ORDER_IDLE_POLL_MS 5000
/* Longest delay until the platform's VM list shows that a VM is gone.  */
#define VM_LIST_LAG_MS 15000
/* Longest time until an order that was sent can still arrive at an engine.  */
#define ORDER_DELIVERY_MAX_MS 30000

/* Key-value service (etcd).  */
#define KV_TIMEOUT_MS 1500
#define KV_VALUE_MAX_BYTES (900U * 1024)
#define KV_RETRY_MS 1000
#define KV_WATCH_IDLE_TIMEOUT_MS 10000

/* Applying a configuration file to all VMs.  */
#define APPLY_STAGE_TIMEOUT_MS 4000
#define APPLY_WRITE_TIMEOUT_MS 10000
#define APPLY_IN_FORCE_TIMEOUT_MS 5000
#define APPLY_NOTIFY_INTERVAL_MS 300
/* Files that a VM keeps staged; a further one replaces the oldest.  */
#define APPLY_STAGED_MAX 4
#define CONF_POLL_INTERVAL_MS 2000

/* Retries of the VM, as a percentage of requests, and the Retry-After that
   callers get: at least MIN, plus a random part of up to SPREAD.  */
#define RETRY_BUDGET_PERCENT 10
#define RETRY_AFTER_MIN_MS 1000
#define RETRY_AFTER_SPREAD_MS 2000

/* Rate limit of a caller: burst allowed, as time at its rate.  */
#define LIMIT_BURST_MS 1000

#endif
