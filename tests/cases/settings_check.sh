# One pass reports every problem of a settings file, with its line and the allowed values.
mkdir -p "$PA_SCRATCH"; cd "$PA_SCRATCH"
cat >bad.yaml <<'Y'
fleet: test
defaults:
  deadline: {urgent: 200, standard: 1s, slow: 2s}
  hedge_budget: 90%
  no_such: 1
  queue: lifo
  queue: fifo
exceptions:
  - scope: {index: laadplan, colour: red}
    set: {deadline: 150ms}
    author: ops
  - scope: {rank: urgent}
    set: {share: 60%}
    reason: doorstep first
    author: ops
  - scope: {rank: urgent}
    set: {share: 70%}
    reason: doorstep more
    author: ops
Y
"$PA_BUILD/plantainarch" check bad.yaml; echo "exit $?"
printf 'id: vm1\ncaller_port: x\ncolour: red\n' >vm.yaml
"$PA_BUILD/plantainarch" check --vm vm.yaml; echo "exit $?"
printf 'fleet: [unclosed\n' >broken.yaml
"$PA_BUILD/plantainarch" check broken.yaml; echo "exit $?"
"$PA_BUILD/plantainarch" check 2>&1; echo "exit $?"
