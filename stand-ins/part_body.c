/**
 * @file part_body.c
 * Bodies of stand-in leafs, drawn from the hash of their stamps.
 */
#include <gsl/gsl_rng.h>

#include "part_body.h"
#include "plantainarch.h"

void
part_body_fill(const char *stamp, char *body)
{
	gsl_rng *random = gsl_rng_alloc(gsl_rng_taus2);

	gsl_rng_set(random, (unsigned long)hash_text(stamp));
	for (size_t i = 0; i < PART_BODY_BYTES; i++)
		body[i] = (char)gsl_rng_uniform_int(random, 256);
	gsl_rng_free(random);
}
