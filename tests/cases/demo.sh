# Runs the demo and compares the result of each of its checks.
PA_PORT=24400 examples/demo.sh "${PA_BUILD#"$PWD"/}" | grep -E "held|FAILED|^demo"
