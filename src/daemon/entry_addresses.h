/** @file
    Choice of the VMs whose addresses a caller gets.  */
#ifndef DAEMON_ENTRY_ADDRESSES_H
#define DAEMON_ENTRY_ADDRESSES_H

#include "decide/members.h"

#include <glib.h>

/** Returns IP:PORT of the VMs that callers in FAILURE_DOMAIN and REGION should
    use: those in the domain; if there are none, those in the region; if there
    are none, all.  At most 64; suspect and leaving VMs are left out.
    FAILURE_DOMAIN and REGION may be NULL.  REGION_OF returns the region of a
    failure domain.  Free with g_ptr_array_unref.  */
GPtrArray *entry_addresses (
    const struct members *m,
    const char *(*region_of) (void *arg, const char *failure_domain),
    void *arg, const char *failure_domain, const char *region);

#endif
