/**
 * @file part_body.h
 * The body of a stand-in leaf's answer, which follows from its stamp: whoever
 * knows the stamps of a gathered answer can work out its records.
 */
#ifndef PART_BODY_H
#define PART_BODY_H

#include <stddef.h>

#define PART_BODY_BYTES 400 /* 25 records */

/** Fills a buffer of PART_BODY_BYTES. */
void part_body_fill(const char *stamp, char *body);

#endif
