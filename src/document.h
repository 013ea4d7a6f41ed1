/**
 * @file document.h
 * Helpers shared by the readers of YAML documents.
 */
#ifndef DOCUMENT_H
#define DOCUMENT_H

#include <yaml.h>

#include "plantainarch.h"

/** State of reading one document. */
typedef struct document_reader {
	yaml_document_t yaml;
	const char *name;
	problem_list_t *problems;
} document_reader_t;

typedef void (*pair_fn_t)(document_reader_t *reader, const char *key,
    const yaml_node_t *key_node, yaml_node_t *value, void *context);

bool document_load(document_reader_t *reader, const char *name,
    const char *text, size_t length,
    problem_list_t
	*problems); /* on success release with yaml_document_delete */
void document_add_problem(document_reader_t *reader, const yaml_node_t *node,
    const char *key, const char *format, ...) G_GNUC_PRINTF(4, 5);
const char *document_get_scalar(const yaml_node_t *node);
bool document_read_pairs(document_reader_t *reader, yaml_node_t *node,
    const char *key, pair_fn_t callback, void *context);
bool document_read_name(document_reader_t *reader, const char *key,
    yaml_node_t *node, char *target, size_t size);

#endif
