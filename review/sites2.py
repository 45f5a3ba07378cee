"""Settings of the two small deployments, as the brief and their site files give them."""


def team(name, cpus=0.0, cpus_max=0.0):
    return {"name": name, "cpus": cpus, "cpus_max": cpus_max, "gpus": 0.0, "gpus_max": 0.0}


def deadline(name, share):
    return {"kind": "deadline", "class": name, "share": share, "times": 1.0}


def machine_type(sku, vcpus, memory_gb, cache_gb, fetch, price, spot_price, boot_s, zones):
    return {"sku": sku, "vcpus": vcpus, "gpus": 0.0, "memoryGb": memory_gb, "localGb": cache_gb, "pullGbPerS": fetch,
            "price": price, "lowPrice": spot_price, "bootS": boot_s, "groves": zones}


def piimaring():
    zones = ["tartu", "parnu"]
    return {
        "size": 3, "zones": zones, "teams": [team("veokid")],
        "objectives": [deadline("route-sheets", 0.85), deadline("tank-alarms", 0.94),
                       {"kind": "wait", "class": "tank-alarms", "within_s": 2.0, "share": 0.9}],
        "workers": {"report_s": 3.0, "lease_s": 24.0, "gang_wait_s": 50.0, "gang_peer_s": 8.0, "cancel_s": 44.0},
        "state": {"rps": 100.0, "write_rps": 40.0, "value_kb": 8.0, "txn_ops": 32},
        "cloud": {"rps": 4.0, "list_lag_s": 10.0},
        "resources": {"cpu_share": 0.04, "mem_mb": 72.0, "fd_limit": 1200},
        "types": [machine_type("hall16", 16.0, 64.0, 60.0, 0.8, 1.07, 0.24, 35.0, zones)],
        "capacity": {("hall16", zone, spot): count for zone, count in (("tartu", 9), ("parnu", 11))
                     for spot in (True, False)},
    }


def terminali():
    zones = ["tbilisi", "batumi"]
    return {
        "size": 3, "zones": zones, "teams": [team(name) for name in ("survey", "wayfind", "render", "airside")],
        "objectives": [deadline("tile-render", 0.88), deadline("gate-fix", 0.93),
                       {"kind": "wait", "class": "closure-push", "within_s": 12.0, "share": 0.9},
                       {"kind": "finished", "class": "closure-push", "within_s": 100.0, "share": 0.9}],
        "workers": {"report_s": 3.0, "lease_s": 16.0, "gang_wait_s": 35.0, "gang_peer_s": 4.0, "cancel_s": 36.0},
        "state": {"rps": 200.0, "write_rps": 20.0, "value_kb": 4.0, "txn_ops": 12},
        "cloud": {"rps": 2.0, "list_lag_s": 4.0},
        "resources": {"cpu_share": 0.096, "mem_mb": 104.0, "fd_limit": 2000},
        "types": [machine_type("kvali8", 8.0, 16.0, 50.0, 0.6, 0.45, 0.16, 20.0, zones),
                  machine_type("mtis32", 32.0, 64.0, 25.0, 0.4, 1.77, 0.66, 20.0, zones)],
        "capacity": {("kvali8", "tbilisi", False): 2, ("kvali8", "tbilisi", True): 12, ("kvali8", "batumi", False): 2,
                     ("kvali8", "batumi", True): 10, ("mtis32", "tbilisi", False): 1, ("mtis32", "tbilisi", True): 2,
                     ("mtis32", "batumi", False): 1, ("mtis32", "batumi", True): 2},
    }
