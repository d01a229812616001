#include "io/metrics_port.h"

#include <microhttpd.h>
#include <string.h>

#include "base/error.h"
#include "base/socket_address.h"

#define PATH "/metrics"
#define CONTENT_TYPE "text/plain; version=0.0.4; charset=utf-8"

/* Scrapers are few; more connections than this would only cost memory.  */
#define CONNECTIONS_MAX 16

#define IDLE_SECONDS 10u
#define TIMER_MS 1000

static enum MHD_Result
answer (struct MHD_Connection *connection, unsigned status, const char *text,
        size_t len)
{
  struct MHD_Response *r = MHD_create_response_from_buffer (
      len, (void *)(uintptr_t)text, MHD_RESPMEM_MUST_COPY);
  enum MHD_Result result;

  if (!r)
    return MHD_NO;
  MHD_add_response_header (r, MHD_HTTP_HEADER_CONTENT_TYPE, CONTENT_TYPE);
  result = MHD_queue_response (connection, status, r);
  MHD_destroy_response (r);
  return result;
}

static enum MHD_Result
on_request (void *userdata, struct MHD_Connection *connection, const char *url,
            const char *method, const char *version, const char *upload,
            size_t *upload_size, void **request)
{
  struct am_metrics_port *p = userdata;
  struct am_metrics_text t;
  enum MHD_Result result;

  (void)version;
  (void)upload;
  (void)request;
  if (*upload_size)
    {
      *upload_size = 0;
      return MHD_YES;
    }
  if (strcmp (method, MHD_HTTP_METHOD_GET) != 0)
    return answer (connection, MHD_HTTP_METHOD_NOT_ALLOWED, "", 0);
  if (strcmp (url, PATH) != 0)
    return answer (connection, MHD_HTTP_NOT_FOUND, "", 0);
  am_metrics_text_init (&t);
  p->render (p->userdata, &t);
  if (t.failed)
    result = answer (connection, MHD_HTTP_INTERNAL_SERVER_ERROR, "", 0);
  else
    result = answer (connection, MHD_HTTP_OK, t.data ? t.data : "", t.len);
  am_metrics_text_finish (&t);
  return result;
}

static void
on_readable (uv_poll_t *handle, int status, int events)
{
  struct am_metrics_port *p = handle->data;

  (void)status;
  (void)events;
  if (p->daemon)
    MHD_run (p->daemon);
}

static void
on_timer (uv_timer_t *handle)
{
  struct am_metrics_port *p = handle->data;

  if (p->daemon)
    MHD_run (p->daemon);
}

int
am_metrics_port_open (struct am_metrics_port *p, uv_loop_t *loop,
                      struct am_address address, am_metrics_render render,
                      void *userdata)
{
  struct sockaddr_in sa = am_address_to_socket (address);
  const union MHD_DaemonInfo *info;

  memset (p, 0, sizeof *p);
  p->render = render;
  p->userdata = userdata;
  p->daemon = MHD_start_daemon (
      MHD_USE_EPOLL, address.port, NULL, NULL, on_request, p,
      MHD_OPTION_SOCK_ADDR, (struct sockaddr *)&sa,
      MHD_OPTION_CONNECTION_LIMIT, CONNECTIONS_MAX,
      MHD_OPTION_CONNECTION_TIMEOUT, IDLE_SECONDS, MHD_OPTION_END);
  if (!p->daemon)
    return AM_E_IO;
  info = MHD_get_daemon_info (p->daemon, MHD_DAEMON_INFO_EPOLL_FD);
  if (!info || uv_poll_init (loop, &p->poll, info->epoll_fd) != 0)
    {
      MHD_stop_daemon (p->daemon);
      p->daemon = NULL;
      return AM_E_IO;
    }
  p->poll.data = p;
  uv_poll_start (&p->poll, UV_READABLE, on_readable);
  uv_timer_init (loop, &p->timer);
  p->timer.data = p;
  uv_timer_start (&p->timer, on_timer, TIMER_MS, TIMER_MS);
  uv_unref ((uv_handle_t *)&p->timer);
  return AM_OK;
}

void
am_metrics_port_close (struct am_metrics_port *p)
{
  if (!p->daemon)
    return;
  uv_poll_stop (&p->poll);
  uv_close ((uv_handle_t *)&p->poll, NULL);
  uv_close ((uv_handle_t *)&p->timer, NULL);
  MHD_stop_daemon (p->daemon);
  p->daemon = NULL;
}
