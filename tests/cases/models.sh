# The models pass their checks, and their broken variants fail them.
mkdir -p "$PA_SCRATCH"
for model in claims settings; do
	for variant in "" -DBROKEN; do
		cp "models/$model.pml" "$PA_SCRATCH/model.pml"
		(cd "$PA_SCRATCH" && rm -f pan* && spin -a $variant model.pml >/dev/null && gcc -O2 -DSAFETY -w -o pan pan.c && ./pan -m100000) >"$PA_SCRATCH/out" 2>&1
		errors=$(sed -n 's/.*errors: \([0-9]*\).*/\1/p' "$PA_SCRATCH/out")
		echo "$model ${variant:-as built}: $(case "$errors" in 0) echo holds ;; "") echo "did not run" ;; *) echo "found wrong" ;; esac)"
	done
done
