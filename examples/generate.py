#!/usr/bin/env python3
"""Writes the example settings and catalogues below examples/.

Run it after changing this file: `python3 examples/generate.py`. A test checks
that the written files are current.
"""

import json
import pathlib
import sys

ZONES = 4
GIB = 1024**3

RELAY_PORT = 7000
CONTROLLER_PORT = 7001
ROUTER_PEER_PORT = 7002
ROUTER_HTTP_PORT = 8080


def deployment(name, network, cold_start_weight, loads_per_second, zones):
    """Settings of one entry host in each availability zone."""

    def host_address(zone):
        return f"{network}.{zone}.10"

    files = {}
    for zone in range(1, ZONES + 1):
        own = host_address(zone)
        others = [host_address(z) for z in range(1, ZONES + 1) if z != zone]
        relays = [f"{address}:{RELAY_PORT}" for address in [own, *others]]
        process = {"host": f"{name}-entry-{zone}", "zone": zones[zone - 1]}
        files[f"{zones[zone - 1]}/relay.json"] = {
            "process": process,
            "relay": {"listen": relays[0], "peers": relays[1:]},
            "log": {"address": f"{network}.0.5:9000"},
        }
        files[f"{zones[zone - 1]}/controller.json"] = {
            "process": process,
            "controller": {
                "listen": f"{own}:{CONTROLLER_PORT}",
                "router_address": f"{own}:{ROUTER_PEER_PORT}",
                "relays": relays,
                "all_endpoints_fence": False,
            },
            "platform": {"host_list_address": f"{network}.0.6:9000"},
            "eviction": {"cold_start_weight": cold_start_weight},
            "weight_store": {
                "loads_per_second": loads_per_second,
                "parallel_loads": 4,
            },
        }
        files[f"{zones[zone - 1]}/router.json"] = {
            "process": process,
            "router": {
                "listen": f"{own}:{ROUTER_HTTP_PORT}",
                "peer_listen": f"{own}:{ROUTER_PEER_PORT}",
                "relays": relays,
            },
        }
    return files


def model(team, traffic_class, gib, max_tokens, deadline_ms, replicas):
    return {
        "kind": "model",
        "team": team,
        "class": traffic_class,
        "version": "1",
        "replicas": replicas,
        "weight_bytes": gib * GIB,
        "bytes_per_token": 131072,
        "max_tokens": max_tokens,
        "max_queue": 128 if traffic_class == "interactive" else 512,
        "max_concurrent": 32,
        "default_deadline_ms": deadline_ms,
    }


def adapter(base_name, base, team, replicas):
    """An adapter inherits the limits of its base."""
    result = dict(base, kind="adapter", base=base_name, team=team)
    result["weight_bytes"] = GIB // 4
    result["replicas"] = min(replicas, base["replicas"])
    return result


def service(team, traffic_class, name, repeatable, deadline_ms):
    return {
        "kind": "service",
        "team": team,
        "class": traffic_class,
        "service": name,
        "repeatable": repeatable,
        "max_queue": 256,
        "max_concurrent": 64,
        "default_deadline_ms": deadline_ms,
    }


def shohag_catalogue():
    """50 models, 55 adapters and the board service."""
    entries = {}
    districts = [
        "dhaka", "gazipur", "narayanganj", "chattogram", "khulna", "rajshahi",
        "sylhet", "barishal", "rangpur", "mymensingh", "cumilla", "bogura",
        "jashore", "pabna", "dinajpur", "tangail", "faridpur", "noakhali",
        "feni", "kushtia", "satkhira", "natore", "habiganj", "sherpur",
        "jamalpur",
    ]
    for index, district in enumerate(districts):
        busy = index < 4
        entries[f"announce-{district}"] = model(
            "rider-information", "interactive", 6, 512, 4000,
            3 if busy else 1)
        entries[f"summary-{district}"] = model(
            "depot-planning", "batch", 13, 4096, 600000, 1)
    for index, district in enumerate(districts):
        base = f"announce-{district}"
        for variant in ("night", "festival"):
            entries[f"{base}-{variant}"] = adapter(
                base, entries[base], "rider-information", 1 + index % 2)
    for depot in ("mirpur", "gabtoli", "sayedabad", "mohakhali", "kalyanpur"):
        entries[f"summary-depot-{depot}"] = adapter(
            "summary-dhaka", entries["summary-dhaka"], "depot-planning", 1)
    entries["board-update"] = service(
        "rider-information", "interactive", "board", False, 3000)
    entries["board-state"] = service(
        "rider-information", "interactive", "board", True, 2000)
    return entries


def agencia_catalogue():
    """65 models, 75 adapters and the counter's services."""
    entries = {}
    cities = [
        "porto-alegre", "curitiba", "florianopolis", "caxias", "pelotas",
        "londrina", "maringa", "joinville", "blumenau", "chapeco",
        "santa-maria", "passo-fundo", "cascavel", "ponta-grossa", "itajai",
        "lages", "criciuma", "bage", "uruguaiana", "erechim",
        "guarapuava", "toledo", "umuarama", "brusque", "tubarao",
    ]
    for index, city in enumerate(cities):
        entries[f"suggest-quick-{city}"] = model(
            "gift-lists", "interactive", 5, 1024, 5000, 2 if index < 5 else 1)
        entries[f"suggest-reviewed-{city}"] = model(
            "gift-lists", "batch", 14, 4096, 120000, 1)
    for index in range(1, 16):
        entries[f"contract-rules-{index:02}"] = model(
            "contracts", "batch", 20, 8192, 300000, 1)
    for city in cities:
        for kind in ("quick", "reviewed"):
            base = f"suggest-{kind}-{city}"
            entries[f"{base}-premium"] = adapter(
                base, entries[base], "gift-lists", 1)
    for city in cities:
        base = f"suggest-quick-{city}"
        entries[f"{base}-spring"] = adapter(
            base, entries[base], "campaigns", 1)
    entries["balance-query"] = service(
        "accounts", "interactive", "counter", True, 3000)
    entries["item-reservation"] = service(
        "accounts", "interactive", "counter", False, 5000)
    return entries


def all_files():
    shohag = deployment("shohag", "10.21", 60, 2.5,
                        ["dhaka-a", "dhaka-b", "dhaka-c", "dhaka-d"])
    agencia = deployment("agencia", "10.22", 6, 10,
                         ["sul-a", "sul-b", "sul-c", "sul-d"])
    shohag["catalogue.json"] = {"entries": shohag_catalogue()}
    agencia["catalogue.json"] = {"entries": agencia_catalogue()}
    for name, files in (("shohag", shohag), ("agencia", agencia)):
        for path, content in files.items():
            yield f"{name}/{path}", json.dumps(content, indent=2) + "\n"


def main():
    root = pathlib.Path(__file__).parent
    stale = []
    for path, text in all_files():
        target = root / path
        if "--check" in sys.argv:
            if not target.exists() or target.read_text() != text:
                stale.append(path)
            continue
        target.parent.mkdir(parents=True, exist_ok=True)
        target.write_text(text)
    for path in stale:
        print(f"{path}: differs from what generate.py writes")
    return 1 if stale else 0


if __name__ == "__main__":
    sys.exit(main())
