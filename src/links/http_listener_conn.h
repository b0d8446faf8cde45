/** @file
    Listener and connections of callers.  Private to the source files of the
    listener.  */
#ifndef LINKS_HTTP_LISTENER_CONN_H
#define LINKS_HTTP_LISTENER_CONN_H

#include "links/http_listener.h"

#include <event2/bufferevent.h>
#include <event2/listener.h>

enum conn_state
{
  CONN_IDLE,       /* no byte of the next request has arrived */
  CONN_READING,    /* a request is incomplete */
  CONN_RESPONDING, /* the request is complete, its response is not */
  CONN_FLUSHING,   /* the last response of the connection is being written */
  CONN_LINGERING   /* the sending side is shut down, close follows */
};

struct http_listener
{
  struct event_base *base;
  struct evconnlistener *listener;
  struct http_listener_limits limits;
  const struct http_listener_callbacks *callbacks;
  void *arg;
  GHashTable *conns;      /* set of struct http_listener_conn */
  unsigned descriptors;   /* that callers' connections may use */
  struct event *recheck;  /* accepts again, and lets bodies go on */
  bool recheck_scheduled; /* lets bodies go on as soon as possible */
  unsigned open_requests;
  bool draining;
};

struct http_listener_conn;

struct inbound_request
{
  struct http_listener_conn *conn;
  void (*on_close) (void *);
  void *on_close_arg;
  void (*on_drained) (void *);
  void *on_drained_arg;
  enum http_framing framing;
};

struct http_listener_conn
{
  struct http_listener *listener;
  struct bufferevent *bev;
  struct event *timer;
  struct http_codec *codec;
  struct evbuffer *body; /* of the current request */
  enum conn_state state;
  struct inbound_request request;
  int64_t request_start_ms;  /* first byte of the current request was read */
  int64_t request_since_ms;  /* earliest time at which it can have come */
  struct loop_mark accepted; /* when the connection was accepted */
  bool was_read;             /* input was read before */
  int64_t input_since_ms;    /* the same for the oldest input not parsed */
  size_t left_bytes;         /* input that was left unparsed */
  size_t unwritten;          /* bytes of responses not written, when checked */
  int64_t progress_ms;       /* when UNWRITTEN last changed */
  bool close_after_response; /* close after the current response */
  bool head_written;         /* of the current response */
  bool late_input;   /* the read time-out was put off for unread input */
  size_t late_bytes; /* bytes of the request when it was */
  bool in_conn_read; /* keeps conn_next_request from calling http_conn_read
                        again */
  unsigned requests; /* complete ones so far */
  int64_t since_ms;  /* idle, or accepted, since then */
  struct memory_body *memory; /* of the current request; NULL for none yet */
  size_t head_bytes;          /* of its complete head that the budget counts */
  bool waits_for_memory;      /* its body is not read */
  bool ahead_paused;          /* pipelined input is not read */
  bool has_large_buffer;      /* of the kernel, as it has memory for a large
                                 body */
  struct memory_budget *memory_budget; /* of responses; NULL for no bound */
  bool in_response;      /* the head of a response is written, not its end */
  bool counts_response;  /* in the budget, as one of its responses */
  size_t counted_bytes;  /* in the budget, of those that wait for the caller */
  bool waits_for_caller; /* the next request is not parsed until the caller has
                            taken the responses before */
  size_t stall_bytes;    /* of the body, at STALL_MS */
  int64_t stall_ms;      /* when it last made progress; 0: not seen */
};

/** Adds the connection FD, which was accepted, to F.  */
void http_conn_create (struct http_listener *f, evutil_socket_t fd);
/** F drains: C is closed after its response, or after IDLE_MS without a
    request.  */
void http_conn_drain (struct http_listener_conn *c, unsigned idle_ms);
/** The response of C has been passed completely to the output buffer.  */
void http_conn_end_response (struct http_listener_conn *c);
/** Sends the error response STATUS and closes the connection after it.  */
void http_conn_refuse (struct http_listener_conn *c, unsigned status,
                       const char *reason);
/** Frees C.  */
void http_conn_free (struct http_listener_conn *c);
/** Frees C, and notifies the handler of a request without a complete
    response.  */
void http_conn_lost (struct http_listener_conn *c);
/** Parses the input of C up to a request that waits for its response.  May
    free C.  */
void http_conn_read (struct http_listener_conn *c);
/** Checks the bodies that wait for memory after a short time.  */
void http_listener_recheck_later (struct http_listener *f);
/** Sends 100 Continue if the caller waits for it before it sends the body.  */
void http_conn_send_continue (struct http_listener_conn *c);

/* Memory of requests, heads and bodies (http_listener_body.c).  */

/** The head of the current request of C is complete.  */
void http_body_note_head (struct http_listener_conn *c);

/** Reserves memory for the part of a request that is read and the next part.
    Returns false if C was refused.  Stops reading while C waits.  */
bool http_body_claim (struct http_listener_conn *c);
/** Bounds what the kernel keeps unread of FD, a connection of F without memory
    for a large body, or the socket of F, whose connections inherit it.  */
void http_body_bound_buffer (const struct http_listener *f,
                             evutil_socket_t fd);
/** The request of C is complete.  Returns false if there is no memory for
    it and C was refused.  */
bool http_body_complete (struct http_listener_conn *c);
/** The request of C has ended, or is refused: drops its head and its body.  */
void http_body_end (struct http_listener_conn *c);
/** Lets bodies go on for which there is memory now, and refuses those that
    make no progress while others wait.  Returns whether any waits still.  */
bool http_body_recheck (struct http_listener *f);

/* Memory of responses (http_listener_output.c).  */

/** C is accepted: from now on its output counts.  */
void http_output_open (struct http_listener_conn *c);
/** C is about to be freed: its output counts no more.  */
void http_output_close (struct http_listener_conn *c);
/** A response in parts begins or ends on C.  */
void http_output_set_response (struct http_listener_conn *c, bool in_response);
/** Whether so much waits for the caller of C that its next request must.  */
bool http_output_is_full (const struct http_listener_conn *c);

/* Bound of the connections (http_listener_bound.c).  */

/** Makes room for one more connection of F by closing one that does nothing,
    if the bound is reached.  Returns false if there is none.  */
bool http_bound_make_room (struct http_listener *f);
/** Closes a connection of F that does nothing.  Returns false if there is
    none.  */
bool http_bound_close_one (struct http_listener *f);

#endif
