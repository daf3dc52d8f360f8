"""Converts the settings of the start message to the names of the decisions and to microseconds."""

# values on the wire -> values of the decisions
VALUE_NAMES = {
    "idempotent": "repeatable",
    "deduplicated": "tagged",
    "at_most_once": "mutating",
    "automatic": "clock",
    "by_count": "count",
    "first_voice": "any",
    "parallel": "beside",
    "replace": "in place",
    "each_class": "path group",
}

# (name in the decisions, path on the wire, whether it is a time in milliseconds)
SETTINGS_FIELDS = [
    ("gateways", "balancers", False),
    ("number", "position", False),
    ("zone", "zone", False),
    ("zones", "areas", False),
    ("tick", "quantum", True),
    ("customers", "tenants", False),
    ("over_share_benefit", "overShareWorth", False),
    ("benefit_by", "worthBy", False),
    ("weights", "weights", False),
    ("reports", "loadInfo.how", False),
    ("report_names", "loadInfo.names", False),
    ("gate", "familyInfo.gateMode", False),
    ("layout", "familyInfo.layout", False),
    ("stage_shares", "familyInfo.shares", False),
    ("stage_caps", "familyInfo.exposureCaps", False),
    ("exposure_window", "familyInfo.exposureWindow", True),
    ("exposure_free", "familyInfo.uncounted", False),
    ("exposure_by", "familyInfo.countedBy", False),
    ("shielded_stages", "familyInfo.shielded", False),
    ("keys_stay", "familyInfo.keysStay", False),
    ("vote_life", "familyInfo.ballotTtl", True),
    ("vote_wait", "familyInfo.answerWait", True),
    ("vote_rate", "familyInfo.apiRate", False),
    ("on_votes", "familyInfo.ayesNeeded", False),
    ("back_votes", "familyInfo.toAbort", False),
    ("hold_votes", "familyInfo.toPause", False),
    ("dwell", "familyInfo.minDwell", True),
    ("step", "familyInfo.step", True),
    ("news_period", "familyInfo.newsPeriod", True),
    ("delay_price", "familyInfo.lagFee", False),
    ("harm_price", "familyInfo.harmFee", False),
    ("tally_period", "familyInfo.tally", True),
    ("tally_sample", "familyInfo.tallySample", False),
    ("wrong_reported", "familyInfo.foundShare", False),
    ("warm_keys", "familyInfo.warmKeys", False),
    ("may_cancel", "policyLimits.mayCancel", False),
    ("may_duplicate", "policyLimits.mayDuplicate", False),
    ("may_probe", "policyLimits.probes", False),
    ("may_tell", "policyLimits.peers", False),
    ("may_advise", "policyLimits.retryAfter", False),
    ("most_advice", "policyLimits.maxRetryAfter", True),
    ("idle_time", "policyLimits.connIdle", True),
    ("answer_slack", "obligations.answerSlack", True),
    ("most_forwards", "policyLimits.maxAttempts", False),
    ("dial_time_out", "policyLimits.dialTimeout", True),
    ("drain_grace", "obligations.stopSendingWithin", True),
    ("cold_time", "obligations.cold", True),
    ("cold_share", "obligations.coldFrom", False),
    ("overload_factor", "obligations.overloadFactor", False),
    ("tip_time", "obligations.tipAfter", True),
    ("ask_within", "obligations.mustAskIn", True),
    ("crossing_price", "tariffs.crossZone", False),
    ("probe_price", "tariffs.probe", False),
    ("tell_price", "tariffs.peer", False),
    ("waste_price", "tariffs.waste", False),
]
PATH_GROUP_FIELDS = [
    ("name", "name", False),
    ("target_latency", "aim", True),
    ("target_stretch", "aimStretch", False),
    ("client_timeout", "deadline", True),
    ("kind", "idempotency", False),
    ("scope", "dedupScope", False),
    ("repeat_window", "window", True),
    ("benefit", "points", False),
    ("late_benefit", "lateWorth", False),
]


def milliseconds_to_us(milliseconds: float) -> int:
    """Converts milliseconds to whole microseconds."""
    return round(milliseconds * 1000)


def read_fields(wire: dict, table: list) -> dict:
    """Returns the fields of the table that the message has, converted; the others are left out."""
    found = {}
    for name, path, is_time in table:
        value = wire
        for step in path.split("."):
            value = value.get(step) if isinstance(value, dict) else None
        if value is not None:
            value = VALUE_NAMES.get(value, value) if isinstance(value, str) else value
            found[name] = milliseconds_to_us(value) if is_time else value
    return found


def policy_settings(setup: dict) -> dict:
    """Returns the policy settings (`interface.PolicySettings`) for the "setup" object of a start message."""
    settings = read_fields(setup, SETTINGS_FIELDS)
    settings["path_groups"] = [
        read_fields(group, PATH_GROUP_FIELDS) for group in setup.get("categories") or []
    ]
    settings["list_by"] = "asking" if setup.get("discovery") == "subscribe" else "push"
    customers = settings.get("customers") or []
    settings["customers"] = [{"name": c.get("name"), "share": c.get("share")} for c in customers]
    return settings
