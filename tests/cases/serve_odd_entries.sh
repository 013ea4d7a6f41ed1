# Guards against one odd entry in the platform's list of VMs that ends the VMs that read it, or
# stops them from following the list and from hearing each other.
. stand-ins/fleet.sh
fleet_begin "$PA_SCRATCH" 28000
fleet_start_platform
fleet_start_upstream main --instances 2 --leaves 2
pa settings set admission deadline >/dev/null
vm() { printf '{"id":"%s","address":"%s","zone":"a","region":"r","state":"live","peer_port":%s,"threads":%s%b}' "$@"; }
put() { curl -s -m 2 -o /dev/null -X PUT "$fleet_platform_url/vms/$1" --data-binary @-; }
nested=$(head -c 100000 /dev/zero | tr '\0' '[')$(head -c 100000 /dev/zero | tr '\0' ']')
vm odd1 127.0.0.1 7000 2000000000 '' | put odd1
vm odd2 127.0.0.1 99999 1 '' | put odd2
vm odd3 127.0.0.1 -1 -2147483648 '' | put odd3
vm odd4 127.0.0.1 18446744073709551616 1 '' | put odd4
vm odd5 127.0.0.1 7000 1 ',"x":1e999' | put odd5
vm odd6 127.0.0.1 7000 1 ',"x":"\\ud83d"' | put odd6
vm odd7 127.0.0.1 7000 1 ",\"x\":$nested" | put odd7
vm odd8 'no address' 7000 1 '' | put odd8
vm odd9 127.0.0.1 7000 1 ',"x":"\0377"' | put odd9

echo "== VMs start beside the odd entries and find each other by the list"
fleet_start_vm 1 a r; fleet_start_vm 2 a r; fleet_start_vm 3 a r
for n in 1 2 3; do fleet_wait_ready $n || echo "VM $n is not ready"; done
fleet_wait_members 3 3 && echo "all see the three VMs"
for n in 1 2 3; do eval "kill -0 \$vm_pid_$n" && echo "VM $n runs, members alive: $(fleet_metric $n members_alive)"; done
for n in 1 2 3; do grep -c 'entries of the list of VMs are not valid' "$PA_SCRATCH/vm$n.log" | sed 's/^[1-9][0-9]*$/logged/'; done | sort | uniq -c | tr -s ' '
pa search --target "$(fleet_caller 1)" --index main "x" | grep coverage

echo "== the settings still follow"
pa settings set hedge_quantile 90% >/dev/null
for _ in $(seq 100); do [ "$(for n in 1 2 3; do fleet_metric $n settings_version; done | sort -u)" = 2 ] && break; sleep 0.1; done
for n in 1 2 3; do fleet_metric $n settings_version; done | sort -u
