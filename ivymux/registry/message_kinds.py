"""The kinds of messages that a registry exchanges with proxies and with its config store.  Pure.

Each message is a map; its kind is the value of the key `k`.  The comments name the other keys.
"""

from __future__ import annotations

# From a proxy.
# id, ip, port, zone, run: the last known incarnation of the registry, n: its last change, age, lists: whether
# to send lists of proxies; without this key, they are sent.
HELLO = "door"
SHARDS = "shards"  # s: a service; asks for the holders of all its shards
SHARD_LOADS = "loads"  # s: a service, c: shards and their requests since the last such message
PROXY_LISTS = "lists"  # asks for the list of proxies and its changes
CHANGE_ACK = "ack"  # n: the change of backends
CONFIG_APPLIED = "have"  # v: the version
CONFIG_REQUEST = "want"
FAILURE_REPORT = "doubt"  # l: ids of backends and failures
TRIAL_REPORT = "trial"  # v: version of the trials, c: counts by trial, o: counts of requests under no trial
FORWARDED = ("claim", "look", "end")  # calls that the config store answers (see config_store/calls.py)

# To a proxy.  The snapshot has run: the registry's incarnation, n: its last change, i: backends, whole:
# whether these are all, doors: proxies, cores, t: system time, v: version of the configuration, zone.
SNAPSHOT = "here"
BACKEND_CHANGES = "news"  # f: the change before them, n: the last one, i: backends
PROXY_CHANGES = "doors"  # on: proxies that joined, off: ids of those that left
# Also SHARDS, with s: the service, v: version, f: the version before it or -1, c: shards by their holder,
# those that changed or all.
EJECTION = "shun"  # id: the backend, for: seconds
CONFIG_TEXT = "text"  # v: version, t: text

# To a proxy, and to a registry from its config store.
CONFIG = "config"  # v: version; from the config store also t: text
SETTING = "note"  # name, v: version, t: text
CORES = "cores"  # l: addresses

# To a registry from its config store.
CONTACT = "contact"  # v: whether the machine reaches a majority of the core

# To the config store.
SUBSCRIPTION = "desk"  # asks for CONFIG, SETTING, CORES and CONTACT messages from now on
CONFIG_READ = "get"  # a call: the newest configuration
