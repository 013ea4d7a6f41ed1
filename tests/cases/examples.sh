# Runs the example programs and compares their output.
"$PA_BUILD/examples/settings_find_decider" examples/van-damme/fleet.yaml boekhouding bulk
"$PA_BUILD/examples/settings_find_decider" examples/van-damme/fleet.yaml klantdesk urgent
"$PA_BUILD/examples/core_answer_search"
