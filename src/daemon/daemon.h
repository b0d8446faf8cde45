/** @file
    What the parts of the daemon share.  */
#ifndef DAEMON_DAEMON_H
#define DAEMON_DAEMON_H

#include "base/clock.h"
#include "decide/members.h"
#include "generated/settings_table.h"
#include "links/http_client.h"
#include "links/http_server.h"
#include "links/kv.h"
#include "links/peer.h"

#include <event2/event.h>
#include <stdbool.h>

struct applies;
struct conf;
struct gossip_link;
struct vm_list;
struct entry;
struct engines;
struct home;
struct calls;
struct orders_link;
struct operator_api;

/** The daemon: its links, and the parts that use them.  */
struct daemon
{
  struct event_base *base;
  struct settings *settings;
  char *fleet_key;
  uint64_t incarnation;
  bool leaving;

  struct http_client *http;
  struct http_server *server;
  struct peers *peers;
  struct kv *kv;

  struct members *members;
  struct gossip_link *gossip;
  struct vm_list *vm_list;
  char **join; /* addresses to join through, ended by NULL */
  struct conf *conf;
  struct applies *applies;
  struct entry *entry;
  struct engines *engines;
  struct home *home;
  struct calls *calls;
  struct orders_link *orders;
  struct operator_api *operators;
};

/** Makes the daemon with SETTINGS, which it takes.  Returns NULL and sets
    ERROR where it cannot listen or read its key.  */
struct daemon *daemon_create (struct settings *settings, GError **error);

/** Runs until daemon_stop has come to its end.  */
void daemon_run (struct daemon *d);

/** Starts a graceful shutdown.  */
void daemon_stop (struct daemon *d);

/** Releases D.  */
void daemon_destroy (struct daemon *d);

/** A new file is in force.  */
void daemon_file_changed (struct daemon *d);

/** Sends MESSAGE to the member VM; returns its connection, or 0 where VM is no
    live member.  */
peer_handle daemon_send (struct daemon *d, const char *vm, unsigned type,
                         const void *message);

/** Starts a timer that calls BACK each INTERVAL_MS.  */
struct event *daemon_every (struct daemon *d, unsigned interval_ms,
                            event_callback_fn back, void *arg);

#endif
