"""The settings of the gateways that the crowds are played against: those of the wire page's example, without
peers and probes, and with a class that runs at most once.
"""

CLASSES = [
    {
        "name": "listing-read",
        "idempotency": "idempotent",
        "window": 5000.0,
        "deadline": 2500.0,
        "points": 1.0,
    },
    {
        "name": "resale-buy",
        "idempotency": "deduplicated",
        "window": 3000.0,
        "deadline": 5000.0,
        "points": 5.0,
    },
    {"name": "payout", "idempotency": "at_most_once", "window": 0.0, "deadline": 2500.0, "points": 5.0},
]
DEADLINES_S = {row["name"]: row["deadline"] / 1000 for row in CLASSES}
ONCE_CLASS = "payout"  # runs at most once
SETTINGS = {
    "areas": ["tallinn-dc", "tartu-dc"],
    "balancers": 1,
    "position": 0,
    "zone": "tallinn-dc",
    "quantum": 5.0,
    "discovery": "automatic",
    "categories": [
        {**row, "dedupScope": "all", "aim": 1000.0, "lateWorth": 0.0, "stream": False} for row in CLASSES
    ],
    "clients": {"marksRetry": True},
    "familyInfo": {
        "answerWait": 1200.0,
        "apiRate": 50.0,
        "ayesNeeded": 0,
        "ballotTtl": 10000.0,
        "countedBy": "all",
        "exposureCaps": [0.16, 0.5, 1.0, 1.0],
        "exposureWindow": 2000.0,
        "gateMode": "automatic",
        "keysStay": False,
        "layout": "parallel",
        "minDwell": 3000.0,
        "newsPeriod": 4000.0,
        "shares": [0.08, 0.25, 0.6, 1.0],
        "shielded": 0,
        "step": 4000.0,
        "toAbort": 1,
        "toPause": 1,
        "uncounted": 2.0,
        "warmKeys": False,
    },
    "kindOfService": "rollout",
    "layers": ["resale-api"],
    "loadInfo": {"how": "inline", "names": ["util", "inflight", "latency_ms"]},
    "obligations": {
        "answerSlack": 20.0,
        "cold": 4400.0,
        "coldFrom": 0.33,
        "mustAskIn": 10000.0,
        "overloadFactor": 2.0,
        "stopSendingWithin": 250.0,
        "tipAfter": 1500.0,
    },
    "overShareWorth": 0.1,
    "policyLimits": {
        "connIdle": 15000.0,
        "dialTimeout": 250.0,
        "maxAttempts": 3,
        "maxRetryAfter": 2000.0,
        "mayCancel": True,
        "mayDuplicate": False,
        "mostHeld": 29245,
        "peers": False,
        "probes": False,
        "retryAfter": True,
    },
    "tariffs": {"crossZone": 0.04, "lateFail": 0.08, "peer": 0.05, "probe": 0.01, "waste": 0.03},
    "tenants": [
        {"name": "emajoe-hall", "quotaRps": 41.0, "share": 0.5},
        {"name": "vaksali-fest", "quotaRps": 31.0, "share": 0.5},
    ],
    "tier": 0,
    "weights": "nominal",
    "worthBy": "request",
}
