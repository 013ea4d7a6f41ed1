# Runs 60000 inputs through the fuzz target of all parsers, from the committed corpus.
mkdir -p "$PA_SCRATCH/corpus"
make -s BUILD="$PA_SCRATCH" "$PA_SCRATCH/fuzz_parsers" >&2 || echo "does not build"
"$PA_SCRATCH/fuzz_parsers" -seed=1 -runs=60000 -max_len=4096 "$PA_SCRATCH/corpus" fuzz/corpus >&2 && echo "no crash in 60000 runs"
