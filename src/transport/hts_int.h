/* Shared by the parts of the HTTP server. */
#ifndef HTS_INT_H
#define HTS_INT_H

#include <microhttpd.h>

#include "transport/body_budget.h"
#include "transport/conn_limits.h"
#include "transport/hts.h"
#include "transport/tmr.h"

#define HTS_HEADERS_MAX 4
/* More than twice the size of callers' jobs. */
#define HTS_SMALL_BODY_BYTES (16 * 1024)

struct hts {
	struct tevent_context *ev;
	struct tevent_fd *fde;
	struct tmr_set *timers;
	struct tmr *timer;
	struct tevent_immediate *im;
	struct MHD_Daemon *daemon;
	hts_handler handler;
	void *priv;
	size_t body_max;
	hts_body_max body_max_now;
	int64_t header_ms; /* time for a header */
	int64_t body_ms;
	uint32_t active;
	bool run_scheduled;
	/* Complete large requests, until the timer gives them to the handler.
	 */
	struct hts_exchange *waiting;
	struct hts_exchange **waiting_end;
	struct tmr *serve_timer;
	/* Connections. */
	int listen_fd; /* -1: none */
	uint16_t port;
	struct tevent_fd *listen_fde;
	struct tmr *accept_timer; /* not NULL: no accepting until then */
	struct tmr *check_timer;
	struct hts_conn *conns;
	struct cnl limits;
	struct bdg budget;
	struct hts_counts counts;
	struct hts_counts logged;
	int64_t log_ms; /* no summary before */
};

enum hts_conn_state {
	HTS_WAITING, /* for a whole header */
	HTS_BODY, /* a body arrives */
	HTS_SERVING, /* until the handler replies */
	HTS_SENDING, /* until the reply is sent */
	HTS_REFUSED, /* answered early; what arrives is discarded */
};

struct hts_exchange;

struct hts_conn {
	struct hts_conn *prev;
	struct hts_conn *next;
	struct hts *srv;
	struct MHD_Connection *con;
	struct hts_exchange *x; /* NULL: between requests */
	int fd;
	uint32_t address;
	enum hts_conn_state state;
	bool closing; /* shut down; libmicrohttpd has yet to notice */
	int64_t since_ms; /* of the state */
	int64_t header_ms; /* a header is arriving since; 0: none */
	uint64_t received_bytes; /* when the state began */
	uint64_t acked_bytes; /* of replies, at the last check */
	int64_t acked_ms; /* when that was seen to grow, in HTS_SENDING */
};

struct hts_reply_header {
	char name[32];
	char value[96];
};

/* `pub` must be the first member: a pointer to it is cast to the exchange. */
struct hts_exchange {
	struct hts_req pub;
	struct hts *srv;
	struct hts_conn *conn;
	struct bdg_body budget;
	size_t body_max;
	char *body;
	size_t body_size; /* bytes allocated */
	size_t discarded_bytes;
	struct hts_exchange *next_waiting;
	bool handler_called;
	bool replied; /* status to reply_len are set */
	unsigned int status;
	const char *type;
	void *reply;
	size_t reply_len;
	struct hts_reply_header headers[HTS_HEADERS_MAX];
	int n_headers;
};

void hts_run(struct hts *s);

void hts_serve_init(struct hts *s);
void hts_serve_finish(struct hts *s);
/* Calls the handler, now or later. The connection has to be suspended. */
void hts_serve(struct hts_exchange *x);

/* Opens the listening socket. Returns false with errno set. */
bool hts_conn_listen(struct hts *s, const struct hts_options *opt);
void hts_conn_stop_listening(struct hts *s);
/* libmicrohttpd's callback for opened and closed connections. */
void hts_conn_notify(void *priv, struct MHD_Connection *con, void **user,
		     enum MHD_ConnectionNotificationCode code);
/* Returns the connection, or NULL if there was no memory for it. */
struct hts_conn *hts_conn_of(struct MHD_Connection *con);
void hts_conn_set_state(struct hts_conn *c, enum hts_conn_state state);
/* Makes libmicrohttpd close the connection. */
void hts_conn_shut_down(struct hts_conn *c);

int64_t hts_now_ms(void);

/* Answers before the body has arrived, so that no handler gets the request, and
 * frees the body. The connection is closed soon after. */
void hts_refuse(struct hts_exchange *x, unsigned int status);

#endif
