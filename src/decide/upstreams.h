/** @file
    Upstreams: the instances of each service, what they are busy with, and how
    they did.

    A VM counts what it sent itself exactly, and adds what other VMs last told.
    Pure.  */
#ifndef DECIDE_UPSTREAMS_H
#define DECIDE_UPSTREAMS_H

#include "decide/attempts.h"
#include "decide/prefixes.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** What an engine takes.  */
enum upstream_role
{
  UPSTREAM_SERVICE, /**< no engine: plain requests */
  UPSTREAM_PREFILL, /**< only reads prompts */
  UPSTREAM_DECODE   /**< whole requests */
};

/** One instance, as it says of itself.  */
struct upstream_info
{
  char *id;
  char *service;
  char *address; /**< IP:PORT */
  char *failure_domain;
  char *software; /**< version of its program */
  unsigned slots; /**< requests that it runs at once */
  bool leaving;
  enum upstream_role role;
  unsigned cold_ms; /**< for how long it is slow yet after its start */
  int64_t born_ms;  /**< wall clock of its start; 0 where unknown */
};

/** Releases what INFO holds.  */
void upstream_info_clear (struct upstream_info *info);

/** Names one instance in the table; 0 is none.  */
typedef uint32_t upstream_handle;

struct upstreams;

/** Where this VM is, and the distances that it counts with.  */
struct upstream_place
{
  const char *failure_domain;
  const char *region;
  /** Region of a failure domain, or NULL where unknown.  */
  const char *(*region_of) (void *arg, const char *failure_domain);
  void *arg;
};

/** Makes an empty table.  The strings of PLACE stay the caller's.  */
struct upstreams *upstreams_create (const struct upstream_place *place);

/** Releases U.  */
void upstreams_destroy (struct upstreams *u);

/** Engines of SERVICE, those to come and those that are there, have memory for
    KV_TOKENS.  */
void upstreams_set_memory (struct upstreams *u, const char *service,
                           uint64_t kv_tokens);

/* What is there.  */

/** Adds or changes an instance; INFO is copied.  Returns whether anything
    changed.  */
bool upstreams_put (struct upstreams *u, const struct upstream_info *info);
/** The engine ID has ROLE now, whatever it said of itself before.  */
void upstreams_set_role (struct upstreams *u, const char *id,
                         enum upstream_role role);
/** Removes an instance; requests under way at it are told apart by their
    handle.  Returns whether it was there.  */
bool upstreams_remove (struct upstreams *u, const char *id);
/** Handle of ID, or 0.  */
upstream_handle upstreams_find (const struct upstreams *u, const char *id);
/** What H says of itself; NULL once it is gone.  */
const struct upstream_info *upstreams_info (const struct upstreams *u,
                                            upstream_handle h);
/** Ids of all instances, to be freed with g_ptr_array_unref.  */
GPtrArray *upstreams_ids (const struct upstreams *u);
/** Number of instances.  */
unsigned upstreams_count (const struct upstreams *u);

/* Work.  */

/** What a request asks of an engine.  */
enum upstream_work_kind
{
  UPSTREAM_WORK_PLAIN,   /**< no engine */
  UPSTREAM_WORK_READ,    /**< to read a long prompt */
  UPSTREAM_WORK_FETCH,   /**< to go on from what another engine has read */
  UPSTREAM_WORK_GENERATE /**< next to nothing to read */
};

/** Room at an instance of a plain service.  */
enum upstream_room
{
  UPSTREAM_FULL,     /**< what is sent waits; also of engines */
  UPSTREAM_HAS_ROOM, /**< it runs less than it can run at once */
  UPSTREAM_IDLE      /**< it runs nothing, as far as is known */
};

/** What was chosen, and why.  */
struct upstream_choice
{
  upstream_handle handle; /**< 0 where there is none */
  enum upstream_work_kind work;
  double expected_ms; /**< until the first byte of the answer */
  double plain_ms;    /**< the same before it was stretched */
  double wait_ms;     /**< of these, for what the engine has to read */
  double margin_ms;   /**< by which the next best one costs more */
  uint64_t tokens;    /**< that it has to read of the prompt */
  bool is_home;       /**< it is the prompt's first choice */
  bool reads_apart;   /**< HANDLE only reads the prompt; another engine,
                           chosen once it has, generates */
  enum upstream_room room;
  unsigned candidates;
};

/** Work that was given to an instance.  */
struct upstream_work
{
  upstream_handle handle;
  uint64_t tokens; /**< that it had to read */
  uint64_t ahead;  /**< tokens before it, its own included */
  int64_t sent_ms;
  double expected_ms;
  bool open;       /**< counted as running */
  bool generating; /**< counted as such */
  bool reading;    /**< its tokens are counted as not yet read */
};

/** A request was sent as CHOICE says; fills WORK.  */
void upstreams_sent (struct upstreams *u, const struct upstream_choice *choice,
                     const struct prompt *prompt, int64_t now_ms,
                     struct upstream_work *work);
/** Time passes: to be called often, so that a gap shows that this process
   stood still.  What was under way then tells nothing of how long answers
   take.  */
void upstreams_tick (struct upstreams *u, int64_t now_ms);
/** The first byte of the answer's body came.  Returns the time that the
    instance itself took until then; 0 where that is not known.  */
unsigned upstreams_first_byte (struct upstreams *u, struct upstream_work *work,
                               int64_t now_ms);
/** A long prompt that came at SINCE_MS and was expected to be answered in
    EXPECTED_MS was answered; later expectations are stretched by it.  */
void upstreams_took (struct upstreams *u, double expected_ms, int64_t since_ms,
                     int64_t now_ms);
/** Bytes of an answer came from H.  */
void upstreams_heard (struct upstreams *u, upstream_handle h, int64_t now_ms);
/** Whether H has sent nothing for so long, to none of the requests that it was
    given, that WORK had better be tried elsewhere.  */
bool upstreams_is_silent (const struct upstreams *u,
                          const struct upstream_work *work, int64_t now_ms);
/** The request ended with OUTCOME.  */
void upstreams_ended (struct upstreams *u, struct upstream_work *work,
                      enum attempt_outcome outcome, int64_t now_ms);
/** The request was cancelled; that tells nothing of the instance.  */
void upstreams_cancelled (struct upstreams *u, struct upstream_work *work);

/* What VMs tell each other.  */

/** Load that one VM put on one instance.  */
struct upstream_load
{
  uint32_t running;
  uint32_t generating; /**< of these, that have next to nothing to read */
  uint64_t tokens;     /**< sent and not yet read */
  uint32_t quiet_ms;   /**< since a byte of an answer came, while running */
};

/** Calls VISIT for each instance on which this VM puts some load.  */
void upstreams_each_busy (const struct upstreams *u,
                          void (*visit) (void *arg, const char *id,
                                         upstream_handle h),
                          void *arg);
/** Load that this VM puts on H.  */
struct upstream_load upstreams_own_load (const struct upstreams *u,
                                         upstream_handle h);
/** Milliseconds since H sent a byte to this VM or, as told, to another.  */
uint32_t upstreams_quiet_ms (const struct upstreams *u, upstream_handle h,
                             int64_t now_ms);
/** Load that all VMs put on H, as far as it was told.  */
struct upstream_load upstreams_all_load (const struct upstreams *u,
                                         upstream_handle h, int64_t now_ms);
/** The home VM of H told LOAD, that of all VMs, and how fast H reads.  */
void upstreams_told (struct upstreams *u, upstream_handle h,
                     const struct upstream_load *load, double tokens_per_ms,
                     int64_t now_ms);
/** Tokens that H reads in a millisecond, as far as it is known.  */
double upstreams_speed (const struct upstreams *u, upstream_handle h);
/** Takes back what VM told.  */
void upstreams_unhear (struct upstreams *u, const char *vm);
/** VM told its load on ID.  */
void upstreams_hear (struct upstreams *u, const char *vm, const char *id,
                     const struct upstream_load *load, int64_t now_ms);

#endif
