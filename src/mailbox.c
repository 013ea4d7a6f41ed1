/**
 * @file mailbox.c
 * Bounded lock-free queue from one sending to one receiving thread: a
 * Concurrency Kit ring of message pointers and an eventfd that wakes the
 * receiver.
 */
#include <ck_ring.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include "plantainarch.h"

struct mailbox {
	ck_ring_t ring;
	ck_ring_buffer_t *slots;
	int fd;
};

mailbox_t *
mailbox_create(void)
{
	mailbox_t *mailbox = g_new0(mailbox_t, 1);

	mailbox->slots = g_new0(ck_ring_buffer_t, MAILBOX_SLOTS);
	ck_ring_init(&mailbox->ring, MAILBOX_SLOTS);
	mailbox->fd = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
	return mailbox;
}

void
mailbox_destroy(mailbox_t *mailbox)
{
	close(mailbox->fd);
	g_free(mailbox->slots);
	g_free(mailbox);
}

bool
mailbox_send(mailbox_t *mailbox, void *message)
{
	THREAD_RELEASE(message);
	if (!ck_ring_enqueue_spsc(&mailbox->ring, mailbox->slots, message))
		return false;
	eventfd_write(mailbox->fd, 1);
	return true;
}

void *
mailbox_receive(mailbox_t *mailbox)
{
	void *message = NULL;

	if (!ck_ring_dequeue_spsc(&mailbox->ring, mailbox->slots, &message))
		return NULL;
	THREAD_ACQUIRE(message);
	return message;
}

int
mailbox_get_fd(const mailbox_t *mailbox)
{
	return mailbox->fd;
}

void
mailbox_clear_fd(mailbox_t *mailbox)
{
	eventfd_t count;

	eventfd_read(mailbox->fd, &count);
}
