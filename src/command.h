/**
 * @file command.h
 * Helpers shared by the subcommands: argument parsing with --help and usage
 * errors, and reading the fleet settings.
 */
#ifndef COMMAND_H
#define COMMAND_H

#include <argtable2.h>

#include "plantainarch.h"

/**
 * Parses the arguments by an argtable2 table whose last entry is arg_end.
 * Prints the help, followed by text, to stdout or usage errors to stderr.
 * Returns -1 if the subcommand is to run, otherwise the exit code.
 */
int command_parse(int argc, char **argv, void **table, struct arg_lit *help,
    struct arg_end *end, const char *text);
/**
 * Reads the fleet settings stored in the platform. If none are stored, sets
 * settings to the defaults and version to 0. If body is not NULL, sets it to
 * the stored text, which the caller frees with g_free. Returns false with the
 * error set if the read or the parsing fails.
 */
bool command_get_fleet_settings(const char *platform, settings_t *settings,
    uint64_t *version, char **body, error_info_t *error);

#endif
