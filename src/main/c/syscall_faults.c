/*
 * Has each so many-th call of accept, socket, connect, read, recv, write and epoll_wait fail for a
 * moment or do only a part of its work, in the ways that Linux documents. Loaded with LD_PRELOAD into
 * the processes of a soak; SYSCALL_FAULT_EVERY says how often, and nothing happens without it.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

static int period(void) {
  static atomic_int cached = -1;
  int value = atomic_load(&cached);
  if (value < 0) {
    const char *text = getenv("SYSCALL_FAULT_EVERY");
    value = text == NULL ? 0 : atoi(text);
    atomic_store(&cached, value);
  }
  return value;
}

/* Whether this call is one that fails; counts the calls of its kind. */
static int fails(atomic_uint *calls) {
  int every = period();
  return every > 0 && atomic_fetch_add(calls, 1) % (unsigned)every == (unsigned)every - 1;
}

/* The next of several errors in turn. */
static int next_error(atomic_uint *turn, const int *errors, unsigned count) {
  return errors[atomic_fetch_add(turn, 1) % count];
}

static int is_socket(int fd) {
  struct stat status;
  return fstat(fd, &status) == 0 && S_ISSOCK(status.st_mode);
}

#define NEXT(name) ((__typeof__(&name))dlsym(RTLD_NEXT, #name))

static const int ACCEPT_ERRORS[] = {ECONNABORTED, ENFILE, ENOBUFS, EMFILE, EINTR};
static const int SOCKET_ERRORS[] = {ENFILE, ENOBUFS, EMFILE};
static const int CONNECT_ERRORS[] = {EADDRNOTAVAIL, ENETUNREACH, ENOBUFS, ETIMEDOUT};
static atomic_uint accept_calls, accept_turn, socket_calls, socket_turn, connect_calls, connect_turn;
static atomic_uint read_calls, write_calls, wait_calls;

int accept(int fd, struct sockaddr *restrict address, socklen_t *restrict length) {
  if (fails(&accept_calls)) {
    errno = next_error(&accept_turn, ACCEPT_ERRORS, 5);
    return -1;
  }
  return NEXT(accept)(fd, address, length);
}

int accept4(int fd, struct sockaddr *restrict address, socklen_t *restrict length, int flags) {
  if (fails(&accept_calls)) {
    errno = next_error(&accept_turn, ACCEPT_ERRORS, 5);
    return -1;
  }
  return NEXT(accept4)(fd, address, length, flags);
}

int socket(int domain, int type, int protocol) {
  if (domain == AF_INET && fails(&socket_calls)) {
    errno = next_error(&socket_turn, SOCKET_ERRORS, 3);
    return -1;
  }
  return NEXT(socket)(domain, type, protocol);
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
  if (address->sa_family == AF_INET && fails(&connect_calls)) {
    errno = next_error(&connect_turn, CONNECT_ERRORS, 4);
    return -1;
  }
  return NEXT(connect)(fd, address, length);
}

ssize_t read(int fd, void *buffer, size_t count) {
  if (count > 1 && is_socket(fd) && fails(&read_calls)) {
    count = 1 + count / 64;
  }
  return NEXT(read)(fd, buffer, count);
}

ssize_t recv(int fd, void *buffer, size_t count, int flags) {
  if (count > 1 && fails(&read_calls)) {
    count = 1 + count / 64;
  }
  return NEXT(recv)(fd, buffer, count, flags);
}

ssize_t write(int fd, const void *buffer, size_t count) {
  if (count > 1 && is_socket(fd) && fails(&write_calls)) {
    count = 1 + count / 2;
  }
  return NEXT(write)(fd, buffer, count);
}

ssize_t send(int fd, const void *buffer, size_t count, int flags) {
  if (count > 1 && fails(&write_calls)) {
    count = 1 + count / 2;
  }
  return NEXT(send)(fd, buffer, count, flags);
}

int epoll_wait(int fd, struct epoll_event *events, int most, int timeout) {
  if (fails(&wait_calls)) {
    errno = EINTR;
    return -1;
  }
  return NEXT(epoll_wait)(fd, events, most, timeout);
}
