# With CURVE keys set, VMs with no keys or other keys neither join the fleet nor
# learn of its members, and random bytes on the peer port have no effect.
. stand-ins/fleet.sh
fleet_begin "$PA_SCRATCH" 24200
fleet_start_platform
fleet_start_upstream main --instances 2
pa settings set hedge_quantile 90% >/dev/null
keys=$(pa keys)
fleet_vm_lines=$keys
fleet_start_vm 1 a r
fleet_start_vm 2 a r
fleet_wait_ready 1 && fleet_wait_ready 2
fleet_wait_members 2 2 && echo "two VMs with the fleet's keys see each other"
fleet_vm_lines=
fleet_start_vm 3 a r
fleet_wait_ready 3
fleet_vm_lines=$(pa keys)
fleet_start_vm 4 a r
fleet_wait_ready 4
head -c 4096 /dev/urandom | timeout 1 curl -s telnet://127.0.0.1:$((fleet_port + 210)) >/dev/null
fleet_wait_metric 1 members_alive 2 && echo "VM 1 sees only those with the fleet's keys"
fleet_wait_metric 3 members_alive 1 && echo "VM 3 without keys sees only itself"
fleet_wait_metric 4 members_alive 1 && echo "VM 4 with other keys sees only itself"
pa search --target "$(fleet_caller 1)" --index main "x" | grep coverage
