/** @file
    Named constants of the system, with their units.  */
#ifndef CONFIG_H
#define CONFIG_H

/* The key that all VMs of a fleet share.  */
#define FLEET_KEY_MIN_BYTES 16

/* Frames between VMs.  */
#define FRAME_VERSION 1
#define FRAME_MAX_BYTES (16U * 1024 * 1024)
#define GOSSIP_MAX_BYTES 1400

/* Peer connections.  */
#define PEER_PING_INTERVAL_MS 1000
#define PEER_UNRESPONSIVE_MS 3000
#define PEER_CONNECT_TIMEOUT_MS 2000

/* Connections of callers.  */
#define CALLER_SILENT_MS 10000

/* Membership.  */
#define MEMBERS_PROBE_INTERVAL_MS 500
#define MEMBERS_PROBE_TIMEOUT_MS 200
#define MEMBERS_INDIRECT_PROBES 3
#define MEMBERS_SUSPECT_MS 2300
#define MEMBERS_PUSH_ROUNDS 3
#define MEMBERS_PUSH_FANOUT 3
#define MEMBERS_PAUSE_THRESHOLD_MS 1000
#define MEMBERS_SYNC_INTERVAL_MS 5000
#define MEMBERS_DEAD_KEPT_MS 60000
#define MEMBERS_BRIDGES_PER_DOMAIN 2
#define MEMBERS_JOIN_RETRY_MS 1000
#define MEMBERS_RESEND_FACTOR 2

/* Engines.  */
#define ENGINE_POLL_INTERVAL_MS 1000
#define ENGINE_UNRESPONSIVE_MS 8000
#define ENGINE_DIGEST_INTERVAL_MS 2000
#define ENGINE_STREAM_STALL_MS 3000
#define ENGINE_RESUME_ATTEMPTS_MAX 3
#define ENGINE_DEFAULT_PREFILL_TOKENS_PER_S 60000
#define ENGINE_BATCH_MAX 64
#define ENGINE_QUEUE_MAX 256

/* Bound on one engine's share of load, and the prompt's part that a prefix is
   taken from.  */
#define ROUTE_BOUND_PERCENT 125
#define ROUTE_PREFIX_BYTES 1024

/* Journal of idempotency keys.  */
#define JOURNAL_SLOTS 64
#define JOURNAL_TICK_MS 10
#define JOURNAL_FLEET_WRITES_PER_S 240
#define JOURNAL_VM_WRITES_PER_S_MAX 50
#define JOURNAL_LATE_RESPONSE_MS 30000
#define JOURNAL_PAGE_MAX_BYTES (700U * 1024)
#define JOURNAL_BODY_MAX_BYTES (16U * 1024)

/* Calls to plain services.  */
#define CALL_BODY_MAX_BYTES (1024U * 1024)
#define CALL_PATH_MAX_BYTES 1024U

/* Orders to engines.  */
#define ORDER_RESEND_MS 1000
#define ORDER_PAGE_REREAD_INTERVAL_MS 10000
#define ORDER_GROUP_DIVISOR 4
#define ORDER_IDLE_POLL_MS 5000
#define VM_LIST_LAG_MS 15000
#define DELIVERY_MAX_MS 30000

/* Key-value service.  */
#define KV_TIMEOUT_MS 1500
#define KV_VALUE_MAX_BYTES (900U * 1024)
#define KV_RETRY_MS 1000
#define KV_WATCH_IDLE_TIMEOUT_MS 10000

/* Applying a file.  */
#define APPLY_STAGE_TIMEOUT_MS 4000
#define APPLY_WRITE_TIMEOUT_MS 10000
#define APPLY_IN_FORCE_TIMEOUT_MS 5000
#define APPLY_NOTIFY_INTERVAL_MS 300
#define APPLY_STAGED_MAX 4
#define CONF_POLL_INTERVAL_MS 2000

/* Retries.  */
#define RETRY_BUDGET_PERCENT 10
#define RETRY_AFTER_MIN_MS 1000
#define RETRY_AFTER_SPREAD_MS 2000

/* Limits of callers.  */
#define LIMIT_BURST_MS 1000

#endif
