#include "harness/proc.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/file.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

struct child_options
{
  const char *log_path;
  pid_t parent;
  bool log_output;
};

/* Runs in the child between fork and exec.  PR_SET_PDEATHSIG has the kernel
   kill the child when the thread that started it exits, so that a test that
   aborts leaves no processes behind.  */
static void
child_setup (gpointer arg)
{
  const struct child_options *s = arg;
  prctl (PR_SET_PDEATHSIG, SIGKILL);
  if (getppid () != s->parent)
    _exit (1);
  int fd = open (s->log_path, O_WRONLY | O_CREAT | O_APPEND, 0644);
  if (fd >= 0)
    dup2 (fd, STDERR_FILENO);
  if (fd >= 0 && s->log_output)
    dup2 (fd, STDOUT_FILENO);
}

static struct proc *
start (const char *name, char **argv, const char *log_path, bool log_output)
{
  struct proc *p = g_new0 (struct proc, 1);
  struct child_options s = { log_path, getpid (), log_output };
  g_autoptr (GError) error = NULL;
  GPid pid = 0;
  p->name = g_strdup (name);
  if (!g_spawn_async_with_pipes (NULL, argv, NULL, G_SPAWN_DO_NOT_REAP_CHILD,
                                 child_setup, &s, &pid, NULL, &p->out, NULL,
                                 &error))
    g_error ("cannot start %s: %s", argv[0], error->message);
  p->pid = pid;
  return p;
}

struct proc *
proc_start (const char *name, char **argv, const char *log_path)
{
  return start (name, argv, log_path, false);
}

struct proc *
proc_start_logged (const char *name, char **argv, const char *log_path)
{
  return start (name, argv, log_path, true);
}

uint16_t
proc_read_port (struct proc *p)
{
  char line[64] = "";
  size_t n = 0;
  while (n < sizeof line - 1 && read (p->out, line + n, 1) == 1
         && line[n] != '\n')
    n++;
  unsigned port = 0;
  if (sscanf (line, "port=%u", &port) != 1)
    g_error ("%s: expected 'port=N' as its first output line, got '%s'",
             p->name, line);
  return (uint16_t)port;
}

void
proc_signal (struct proc *p, int signal)
{
  if (p->pid > 0)
    kill (p->pid, signal);
}

bool
proc_wait (struct proc *p, unsigned timeout_ms)
{
  for (unsigned waited = 0; p->pid > 0; waited += 10)
    {
      if (waitpid (p->pid, &p->status, WNOHANG) == p->pid)
        p->pid = 0;
      else if (waited >= timeout_ms)
        return false;
      else
        g_usleep (10000);
    }
  return true;
}

void
proc_kill (struct proc *p)
{
  if (p->pid <= 0)
    return;
  kill (p->pid, SIGKILL);
  waitpid (p->pid, &p->status, 0);
  p->pid = 0;
}

void
proc_destroy (struct proc *p)
{
  if (p == NULL)
    return;
  proc_kill (p);
  if (p->out >= 0)
    close (p->out);
  g_free (p->name);
  g_free (p);
}

long
proc_rss_kib (const struct proc *p)
{
  g_autofree char *path = g_strdup_printf ("/proc/%d/status", (int)p->pid);
  g_autofree char *text = NULL;
  if (!g_file_get_contents (path, &text, NULL, NULL))
    return 0;
  const char *line = strstr (text, "RssAnon:");
  return line ? (long)g_ascii_strtoll (line + 8, NULL, 10) : 0;
}

/* Returns the inodes of the sockets of P, as text.  */
static GHashTable *
socket_inodes (const struct proc *p)
{
  GHashTable *inodes
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  g_autofree char *path = g_strdup_printf ("/proc/%d/fd", (int)p->pid);
  g_autoptr (GDir) dir = g_dir_open (path, 0, NULL);
  const char *name;
  while (dir && (name = g_dir_read_name (dir)) != NULL)
    {
      g_autofree char *link = g_build_filename (path, name, NULL);
      g_autofree char *target = g_file_read_link (link, NULL);
      if (target && g_str_has_prefix (target, "socket:["))
        g_hash_table_add (
            inodes, g_strndup (target + strlen ("socket:["),
                               strcspn (target + strlen ("socket:["), "]")));
    }
  return inodes;
}

/* Returns ADDRESS, "IP:PORT", as /proc/net/tcp writes it.  */
static char *
kernel_address (const char *address)
{
  g_auto (GStrv) parts = g_strsplit (address, ":", 2);
  return g_strdup_printf ("%08X:%04X", (unsigned)inet_addr (parts[0]),
                          (unsigned)g_ascii_strtoull (parts[1], NULL, 10));
}

long
proc_unread_kib (const struct proc *p, const char *address)
{
  g_autofree char *local = kernel_address (address);
  g_autoptr (GHashTable) inodes = socket_inodes (p);
  g_autofree char *text = NULL;
  unsigned long bytes = 0;
  if (!g_file_get_contents ("/proc/net/tcp", &text, NULL, NULL))
    return 0;
  for (const char *line = strchr (text, '\n'); line;
       line = strchr (line + 1, '\n'))
    {
      char from[14], inode[24];
      unsigned state = 0;
      unsigned long unread = 0;
      int n = sscanf (line, " %*u: %13s %*s %x %*x:%lx %*s %*s %*s %*s %23s",
                      from, &state, &unread, inode);
      if (n != 4 || state == TCP_LISTEN)
        continue;
      bool unaccepted = strcmp (inode, "0") == 0 && strcmp (from, local) == 0;
      if (unaccepted || g_hash_table_contains (inodes, inode))
        bytes += unread;
    }
  return (long)(bytes / 1024);
}

bool
proc_is_left_by (const struct proc *p, const char *address)
{
  g_autofree char *remote = kernel_address (address);
  g_autoptr (GHashTable) inodes = socket_inodes (p);
  g_autofree char *text = NULL;
  if (!g_file_get_contents ("/proc/net/tcp", &text, NULL, NULL))
    return false;
  for (const char *line = strchr (text, '\n'); line;
       line = strchr (line + 1, '\n'))
    {
      char to[14], inode[24];
      unsigned state = 0;
      int n = sscanf (line, " %*u: %*s %13s %x %*s %*s %*s %*s %*s %23s", to,
                      &state, inode);
      if (n == 3 && state == TCP_CLOSE_WAIT && strcmp (to, remote) == 0
          && g_hash_table_contains (inodes, inode))
        return true;
    }
  return false;
}

gint64
proc_cpu_us (const struct proc *p)
{
  g_autofree char *path = g_strdup_printf ("/proc/%d/stat", (int)p->pid);
  g_autofree char *text = NULL;
  if (!g_file_get_contents (path, &text, NULL, NULL))
    return 0;
  const char *rest = strrchr (text, ')');
  unsigned long user = 0, system = 0;
  if (rest == NULL
      || sscanf (rest + 2,
                 "%*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %lu %lu", &user,
                 &system)
             != 2)
    return 0;
  return (gint64)(user + system) * G_USEC_PER_SEC / sysconf (_SC_CLK_TCK);
}

#define PORT_RANGE_FILE "/proc/sys/net/ipv4/ip_local_port_range"
#define PORT_MIN 10240
#define PORT_TRIES 1000

unsigned
proc_kernel_port_min (void)
{
  g_autofree char *text = NULL;
  if (!g_file_get_contents (PORT_RANGE_FILE, &text, NULL, NULL))
    g_error ("cannot read " PORT_RANGE_FILE);
  return (unsigned)g_ascii_strtoull (text, NULL, 10);
}

/* Locks PORT against other test programs until this one ends.  */
static bool
port_lock (unsigned port)
{
  g_autofree char *dir
      = g_build_filename (g_get_tmp_dir (), "buckthorn-test-ports", NULL);
  g_autofree char *path = g_strdup_printf ("%s/%u", dir, port);
  g_mkdir_with_parents (dir, 0777);
  int fd = open (path, O_RDWR | O_CREAT | O_CLOEXEC, 0666);
  if (fd < 0)
    g_error ("cannot open %s", path);
  if (flock (fd, LOCK_EX | LOCK_NB) == 0)
    return true;
  close (fd);
  return false;
}

static bool
port_unused (const char *ip, unsigned port, int type)
{
  struct sockaddr_in sa
      = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)port) };
  inet_pton (AF_INET, ip, &sa.sin_addr);
  int fd = socket (AF_INET, type | SOCK_CLOEXEC, 0);
  bool unused = bind (fd, (struct sockaddr *)&sa, sizeof sa) == 0;
  close (fd);
  return unused;
}

/* The ports are below those that the kernel assigns by itself: it would
   otherwise give a port that was returned, and is not yet in use, to the next
   listener or outgoing connection.  */
uint16_t
proc_unused_port (const char *ip)
{
  gint32 end = (gint32)proc_kernel_port_min ();
  for (unsigned i = 0; i < PORT_TRIES && end > PORT_MIN; i++)
    {
      unsigned port = (unsigned)g_random_int_range (PORT_MIN, end);
      if (port_unused (ip, port, SOCK_STREAM)
          && port_unused (ip, port, SOCK_DGRAM) && port_lock (port))
        return (uint16_t)port;
    }
  g_error ("no unused port on %s from %d to %d", ip, PORT_MIN, end - 1);
}
