/** @file
    The platform's key-value service, behind a table of functions.  */
#ifndef LINKS_KV_H
#define LINKS_KV_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** How an operation ended.  */
enum kv_status
{
  KV_OK,       /**< done */
  KV_CONFLICT, /**< the compared revision did not match; nothing changed */
  KV_NOT_DONE, /**< not done: nothing was sent, or it was refused */
  KV_FORGOT,   /**< the history that was asked for is no longer kept */
  KV_UNKNOWN   /**< sent, no answer: it may be done now, later or never */
};

/** A value as read.  */
struct kv_value
{
  const char *key;
  GBytes *value;
  int64_t revision; /**< of its last change */
};

/** One value to write.  */
struct kv_put
{
  const char *key;
  GBytes *value;
};

/** Result of a read; N is 0 where nothing stands under the key.  */
typedef void kv_get_cb (void *arg, enum kv_status status,
                        const struct kv_value *values, size_t n);
/** Result of a write; REVISION is that of the values now written.  */
typedef void kv_txn_cb (void *arg, enum kv_status status, int64_t revision);
/** A watched value changed.  STATUS other than KV_OK: the watch ended and is
    being made anew; read the value.  */
typedef void kv_watch_cb (void *arg, enum kv_status status,
                          const struct kv_value *value);

/** One change under a prefix.  */
struct kv_change
{
  const char *key;
  GBytes *value; /**< NULL where the key was removed */
  int64_t revision;
};

/** Changes after a revision, or all that stands.  AS_OF is the revision that
    the service had.  */
typedef void kv_changes_cb (void *arg, enum kv_status status,
                            const struct kv_change *changes, size_t n,
                            int64_t as_of);

struct kv;

/** What an adapter provides.  LIST and CHANGES may be NULL; they are there
    where a prefix can be followed by its revision.  */
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

/** Head of each adapter's own structure.  */
struct kv
{
  const struct kv_ops *ops;
  uint64_t reads;
  uint64_t writes;
  uint64_t watches;
};

/** Reads KEY, or all keys that start with it.  */
static inline void
kv_get (struct kv *kv, const char *key, bool prefix, kv_get_cb *cb, void *arg)
{
  kv->ops->get (kv, key, prefix, cb, arg);
}

/** Writes PUTS as one unit if KEY was last changed at REVISION, 0 for "does
    not stand".  */
static inline void
kv_txn (struct kv *kv, const char *key, int64_t revision,
        const struct kv_put *puts, size_t n, kv_txn_cb *cb, void *arg)
{
  kv->ops->txn (kv, key, revision, puts, n, cb, arg);
}

/** Ends the watches of KEY.  */
static inline void
kv_unwatch (struct kv *kv, const char *key)
{
  kv->ops->unwatch (kv, key);
}

/** Watches KEY until kv_unwatch.  */
static inline void
kv_watch (struct kv *kv, const char *key, kv_watch_cb *cb, void *arg)
{
  kv->ops->watch (kv, key, cb, arg);
}

/** Reads all that stands under PREFIX.  */
static inline void
kv_list (struct kv *kv, const char *prefix, kv_changes_cb *cb, void *arg)
{
  kv->ops->list (kv, prefix, cb, arg);
}

/** Waits up to WAIT_MS for changes under PREFIX after the revision AFTER.  */
static inline void
kv_changes (struct kv *kv, const char *prefix, int64_t after, unsigned wait_ms,
            kv_changes_cb *cb, void *arg)
{
  kv->ops->changes (kv, prefix, after, wait_ms, cb, arg);
}

/** Releases KV; operations in flight end without a callback.  */
static inline void
kv_destroy (struct kv *kv)
{
  if (kv)
    kv->ops->destroy (kv);
}

struct event_base;
struct http_client;

/** Makes an adapter for the etcd v3 JSON gateway at ADDRESS, IP:PORT.  */
struct kv *kv_etcd_create (struct event_base *base, struct http_client *http,
                           const char *address);

#endif
