/**
 * @file peer_link.c
 * Messages between processes over ZeroMQ: one PULL socket for incoming messages
 * and one PUSH socket for each peer. Messages to a peer whose send queue is
 * full are dropped, which keeps the sender from blocking; all protocols on top
 * tolerate loss.
 *
 * If CURVE keys are set, both ends authenticate with the fleet's key pair, and
 * a ZAP handler accepts only the fleet's public key.
 */
#include <string.h>
#include <sys/epoll.h>
#include <zmq.h>

#include "plantainarch.h"

#define SEND_QUEUE_MESSAGES	  2000
#define RECEIVE_QUEUE_MESSAGES	  20000
#define SEND_LINGER_MS		  200
#define RECONNECT_INTERVAL_MIN_MS 100
#define RECONNECT_INTERVAL_MAX_MS 2000
#define SENDERS_MAX		  1500
#define RECEIVE_BATCH_MESSAGES	  256

struct peer_link {
	void *zmq_context;
	void *receiver;
	void *zap_socket;
	GThread *zap_thread;
	GHashTable *senders; /* endpoint -> socket */
	char curve_public[NAME_BYTES], curve_secret[NAME_BYTES];
	peer_link_fn_t callback;
	void *context;
	loop_t *loop;
};

static bool set_up_curve(peer_link_t *peer_link, error_info_t *error);
static gpointer run_zap_handler(gpointer context);
static void *open_sender(peer_link_t *peer_link, const char *endpoint);
static void close_sender(gpointer socket);
static void handle_readable(void *context, int fd, uint32_t events);
static int64_t receive_messages(void *context);
static void set_int_option(void *socket, int option, int value);

peer_link_t *
peer_link_create(loop_t *loop, const char *endpoint, const char *curve_public,
    const char *curve_secret, peer_link_fn_t callback, void *context,
    error_info_t *error)
{
	peer_link_t *peer_link = g_new0(peer_link_t, 1);
	size_t size = sizeof(int);
	int fd = -1;

	peer_link->zmq_context = zmq_ctx_new();
	peer_link->loop = loop;
	peer_link->callback = callback;
	peer_link->context = context;
	peer_link->senders = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, close_sender);
	g_strlcpy(peer_link->curve_public, curve_public,
	    sizeof(peer_link->curve_public));
	g_strlcpy(peer_link->curve_secret, curve_secret,
	    sizeof(peer_link->curve_secret));
	peer_link->receiver = zmq_socket(peer_link->zmq_context, ZMQ_PULL);
	set_int_option(peer_link->receiver, ZMQ_LINGER, 0);
	set_int_option(peer_link->receiver, ZMQ_RCVHWM, RECEIVE_QUEUE_MESSAGES);
	if (!set_up_curve(peer_link, error)) {
		peer_link_destroy(peer_link);
		return NULL;
	}
	if (zmq_bind(peer_link->receiver, endpoint) != 0) {
		error_set(error, ERROR_UNAVAILABLE, "bind peer socket",
		    endpoint, "%s; choose a free peer_port",
		    zmq_strerror(zmq_errno()));
		peer_link_destroy(peer_link);
		return NULL;
	}
	zmq_getsockopt(peer_link->receiver, ZMQ_FD, &fd, &size);
	loop_set_fd(loop, fd, EPOLLIN, handle_readable, peer_link);
	loop_add_timer(loop, receive_messages, peer_link);
	return peer_link;
}

void
peer_link_destroy(peer_link_t *peer_link)
{
	if (peer_link == NULL)
		return;
	g_hash_table_destroy(peer_link->senders);
	zmq_close(peer_link->receiver);
	zmq_ctx_shutdown(peer_link->zmq_context);
	if (peer_link->zap_thread != NULL)
		g_thread_join(peer_link->zap_thread);
	zmq_ctx_term(peer_link->zmq_context);
	g_free(peer_link);
}

void
peer_link_send(peer_link_t *peer_link, const char *endpoint, const void *data,
    size_t length)
{
	void *socket = g_hash_table_lookup(peer_link->senders, endpoint);

	if (socket == NULL)
		socket = open_sender(peer_link, endpoint);
	zmq_send(socket, data, length, ZMQ_DONTWAIT);
}

static bool
set_up_curve(peer_link_t *peer_link, error_info_t *error)
{
	if (peer_link->curve_public[0] == '\0')
		return true;
	peer_link->zap_socket = zmq_socket(peer_link->zmq_context, ZMQ_REP);
	if (zmq_bind(peer_link->zap_socket, "inproc://zeromq.zap.01") != 0) {
		zmq_close(peer_link->zap_socket);
		return error_set(error, ERROR_INTERNAL, "bind ZAP socket", "",
		    "%s", zmq_strerror(zmq_errno()));
	}
	peer_link->zap_thread = g_thread_new("zap", run_zap_handler, peer_link);
	set_int_option(peer_link->receiver, ZMQ_CURVE_SERVER, 1);
	zmq_setsockopt(peer_link->receiver, ZMQ_ZAP_DOMAIN, "fleet", 5);
	if (zmq_setsockopt(peer_link->receiver, ZMQ_CURVE_SECRETKEY,
		peer_link->curve_secret,
		strlen(peer_link->curve_secret) + 1) != 0)
		return error_set(error, ERROR_INVALID, "set CURVE keys", "",
		    "curve_secret is not a 40-character Z85 key; generate a "
		    "key pair with 'plantainarch keys'");
	return true;
}

/* Thread function: answers ZeroMQ's ZAP requests until the context shuts down.
 * Frame 1 is the request id; frame 6 is the client's public key. */
static gpointer
run_zap_handler(gpointer context)
{
	peer_link_t *peer_link = context;
	uint8_t fleet_key[32] = { 0 };

	zmq_z85_decode(fleet_key, peer_link->curve_public);
	for (;;) {
		char frames[8][256];
		int frame_sizes[8] = { 0 };
		int frame_count = 0, has_more = 1;
		size_t size = sizeof(has_more);
		bool is_fleet_key;

		while (has_more && frame_count < 8) {
			frame_sizes[frame_count] =
			    zmq_recv(peer_link->zap_socket, frames[frame_count],
				sizeof(frames[frame_count]), 0);
			if (frame_sizes[frame_count] < 0)
				break;
			frame_count++;
			zmq_getsockopt(peer_link->zap_socket, ZMQ_RCVMORE,
			    &has_more, &size);
		}
		if (frame_count < 6)
			break;
		is_fleet_key = frame_count >= 7 && frame_sizes[6] == 32 &&
			       memcmp(frames[6], fleet_key, 32) == 0;
		if (!is_fleet_key)
			metric_add(METRIC_PEER_REJECTED, 1);
		zmq_send(peer_link->zap_socket, "1.0", 3, ZMQ_SNDMORE);
		zmq_send(peer_link->zap_socket, frames[1],
		    (size_t)MIN(frame_sizes[1], 255), ZMQ_SNDMORE);
		zmq_send(peer_link->zap_socket, is_fleet_key ? "200" : "400", 3,
		    ZMQ_SNDMORE);
		zmq_send(peer_link->zap_socket, "", 0, ZMQ_SNDMORE);
		zmq_send(peer_link->zap_socket, "", 0, ZMQ_SNDMORE);
		zmq_send(peer_link->zap_socket, "", 0, 0);
	}
	zmq_close(peer_link->zap_socket);
	return NULL;
}

static void *
open_sender(peer_link_t *peer_link, const char *endpoint)
{
	void *socket;

	/* Senders to replaced VMs stay open. At the limit all senders are
	 * closed, and the next message to a peer opens its sender again. */
	if (g_hash_table_size(peer_link->senders) >= SENDERS_MAX)
		g_hash_table_remove_all(peer_link->senders);
	socket = zmq_socket(peer_link->zmq_context, ZMQ_PUSH);
	/* On close, lets queued messages such as the last results leave. */
	set_int_option(socket, ZMQ_LINGER, SEND_LINGER_MS);
	set_int_option(socket, ZMQ_SNDHWM, SEND_QUEUE_MESSAGES);
	set_int_option(socket, ZMQ_RECONNECT_IVL, RECONNECT_INTERVAL_MIN_MS);
	set_int_option(
	    socket, ZMQ_RECONNECT_IVL_MAX, RECONNECT_INTERVAL_MAX_MS);
	if (peer_link->curve_public[0] != '\0') {
		zmq_setsockopt(socket, ZMQ_CURVE_SERVERKEY,
		    peer_link->curve_public,
		    strlen(peer_link->curve_public) + 1);
		zmq_setsockopt(socket, ZMQ_CURVE_PUBLICKEY,
		    peer_link->curve_public,
		    strlen(peer_link->curve_public) + 1);
		zmq_setsockopt(socket, ZMQ_CURVE_SECRETKEY,
		    peer_link->curve_secret,
		    strlen(peer_link->curve_secret) + 1);
	}
	zmq_connect(socket, endpoint);
	g_hash_table_insert(peer_link->senders, g_strdup(endpoint), socket);
	return socket;
}

static void
close_sender(gpointer socket)
{
	zmq_close(socket);
}

/* ZeroMQ's descriptor is edge-triggered, so the socket is read until it is
 * empty; beyond one batch, the loop's timer continues. */
static void
handle_readable(void *context, int fd, uint32_t events)
{
	receive_messages(context);
}

static int64_t
receive_messages(void *context)
{
	peer_link_t *peer_link = context;
	zmq_msg_t message;

	for (int i = 0; i < RECEIVE_BATCH_MESSAGES; i++) {
		zmq_msg_init(&message);
		if (zmq_msg_recv(&message, peer_link->receiver, ZMQ_DONTWAIT) <
		    0) {
			zmq_msg_close(&message);
			return INT64_MAX;
		}
		if (zmq_msg_size(&message) <= PEER_MESSAGE_BYTES_MAX)
			peer_link->callback(peer_link->context,
			    zmq_msg_data(&message), zmq_msg_size(&message));
		else
			metric_add(METRIC_PEER_REJECTED, 1);
		zmq_msg_close(&message);
	}
	return 0;
}

static void
set_int_option(void *socket, int option, int value)
{
	zmq_setsockopt(socket, option, &value, sizeof(value));
}
