#!/usr/bin/env bash
# Guards against clients that end a control VM's process, or keep it from
# taking configurations, by bodies that never end.
. "$(dirname "$0")/common.sh"
start
play whole_bodies control "$control_ip" 8229 /hyssoploft/Config.Put
check "a configuration is taken afterwards" put_config 2
play whole_bodies control "$control_ip" 8230 /hyssoploft/resolve
check "a configuration is taken after the second crowd" put_config 3
