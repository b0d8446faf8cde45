/** @file
    Asynchronous interface to a key-value service: a table of functions,
    implemented by links/kv_etcd.c for etcd and platform/store.c for the
    platform's store.  Operations return at once; their callbacks run later
    from the event loop, and what is passed to a callback is valid only during
    the call.  */
#ifndef LINKS_KV_H
#define LINKS_KV_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** Outcome of an operation.  */
enum kv_status
{
  KV_OK,        /**< completed */
  KV_CONFLICT,  /**< the compared revision did not match; nothing changed */
  KV_NOT_DONE,  /**< failed without effect, such as not sent or refused */
  KV_COMPACTED, /**< the service no longer keeps the requested revisions */
  KV_RESTORED, /**< the service was restored from a copy and may have lost what
                    it had acknowledged: read all again */
  KV_UNKNOWN   /**< sent without a usable response: a write may have been
                 applied, may still be, or never will be */
};

/** A key and its value, as read.  */
struct kv_value
{
  const char *key;
  GBytes *value;
  int64_t revision; /**< of the key's last change */
};

/** One key and value to write.  */
struct kv_put
{
  const char *key;
  GBytes *value;
};

/** Result of a read; with KV_OK, N is 0 if no key was found.  */
typedef void kv_get_cb (void *arg, enum kv_status status,
                        const struct kv_value *values, size_t n);
/** Result of a write; with KV_OK, REVISION is that of the written values.  */
typedef void kv_txn_cb (void *arg, enum kv_status status, int64_t revision);
/** A watched key changed.  If STATUS is not KV_OK, the watch was interrupted
    and VALUE is NULL: the adapter starts the watch again, and the receiver has
    to read the key, as it may have missed changes.  */
typedef void kv_watch_cb (void *arg, enum kv_status status,
                          const struct kv_value *value);

/** The change of one key under a prefix.  */
struct kv_change
{
  const char *key;
  GBytes *value; /**< NULL if the key was removed */
  int64_t revision;
};

/** Result of kv_list, all keys under the prefix, or of kv_changes.  AS_OF is
    the service's revision when it was read; pass it to kv_changes to get the
    changes that follow.  */
typedef void kv_changes_cb (void *arg, enum kv_status status,
                            const struct kv_change *changes, size_t n,
                            int64_t as_of);

struct kv;

/** Functions of an adapter.  LIST and CHANGES are NULL in an adapter that
    cannot report changes of a prefix since a revision (etcd); WATCH and
    UNWATCH are NULL in one that can (the platform's store).  */
struct kv_ops
{
  void (*get) (struct kv *kv, const char *key, bool prefix, kv_get_cb *cb,
               void *arg);
  void (*txn) (struct kv *kv, const char *key, int64_t revision,
               const struct kv_put *puts, size_t n, kv_txn_cb *cb, void *arg);
  void (*watch) (struct kv *kv, const char *key, kv_watch_cb *cb, void *arg);
  void (*unwatch) (struct kv *kv, const char *key);
  void (*list) (struct kv *kv, const char *prefix, kv_changes_cb *cb,
                void *arg);
  void (*changes) (struct kv *kv, const char *prefix, int64_t after,
                   unsigned wait_ms, kv_changes_cb *cb, void *arg);
  void (*destroy) (struct kv *kv);
};

/** First member of each adapter's own structure.  */
struct kv
{
  const struct kv_ops *ops;
  uint64_t restores; /**< times that the service was seen to be restored from a
                          copy; revisions after one are higher than all before
                          it */
  uint64_t era;      /**< number that the service raises with each restore, as
                          last seen; 0 if it has none */
  uint64_t reads;    /**< kv_get and kv_list calls */
  uint64_t writes;   /**< kv_txn calls */
  uint64_t watches;  /**< watch requests sent, and kv_changes calls */
};

/** Reads KEY, or with PREFIX all keys that start with it.  */
static inline void
kv_get (struct kv *kv, const char *key, bool prefix, kv_get_cb *cb, void *arg)
{
  kv->ops->get (kv, key, prefix, cb, arg);
}

/** Writes PUTS in one transaction if KEY was last changed at REVISION; 0 means
    that KEY does not exist.  PUTS is copied.  */
static inline void
kv_txn (struct kv *kv, const char *key, int64_t revision,
        const struct kv_put *puts, size_t n, kv_txn_cb *cb, void *arg)
{
  kv->ops->txn (kv, key, revision, puts, n, cb, arg);
}

/** Ends all watches of KEY.  */
static inline void
kv_unwatch (struct kv *kv, const char *key)
{
  kv->ops->unwatch (kv, key);
}

/** Watches KEY until kv_unwatch; CB is called for each change.  */
static inline void
kv_watch (struct kv *kv, const char *key, kv_watch_cb *cb, void *arg)
{
  kv->ops->watch (kv, key, cb, arg);
}

/** Reads all keys that start with PREFIX.  */
static inline void
kv_list (struct kv *kv, const char *prefix, kv_changes_cb *cb, void *arg)
{
  kv->ops->list (kv, prefix, cb, arg);
}

/** Long poll: waits up to WAIT_MS for changes under PREFIX after the revision
    AFTER; ends with KV_COMPACTED if these are no longer kept.  With WAIT_MS 0
    it returns at once what there is, and uses a new connection, as it replaces
    a poll that may be lost with its connection.  */
static inline void
kv_changes (struct kv *kv, const char *prefix, int64_t after, unsigned wait_ms,
            kv_changes_cb *cb, void *arg)
{
  kv->ops->changes (kv, prefix, after, wait_ms, cb, arg);
}

/** Releases KV, which may be NULL.  Operations in flight end without a
    callback; those of the etcd adapter, except watches, end only when its HTTP
    client is destroyed.  */
static inline void
kv_destroy (struct kv *kv)
{
  if (kv)
    kv->ops->destroy (kv);
}

struct event_base;
struct http_client;

/** Creates an adapter for the etcd v3 JSON gateway at ADDRESS, IP:PORT.  */
struct kv *kv_etcd_create (struct event_base *base, struct http_client *http,
                           const char *address);

#endif
