"""Checks of the two lists: every fault at once, each with its line and remedy."""

from __future__ import annotations

from pathlib import Path

import pytest

from masticdeck.ids import InstanceId
from masticdeck.state.changes import (
    DeltaConflict,
    apply_delta,
    make_delta,
    touched,
)
from masticdeck.state.checks import ListsInvalid, check_lists, read_lists
from masticdeck.state.deployment import load_deployment
from masticdeck.state.lists import Lists, PlanList, schemas

EXAMPLES = Path(__file__).resolve().parents[2] / "examples"
RIGA = load_deployment(EXAMPLES / "riga" / "deployment.jsonc")
CUSTOMERS = (EXAMPLES / "riga" / "customers.jsonc").read_text()
PLANS = (EXAMPLES / "riga" / "plans.jsonc").read_text()


def riga_lists() -> Lists:
    return read_lists(CUSTOMERS, PLANS, RIGA)


def edited(plans: str = PLANS, customers: str = CUSTOMERS) -> Lists:
    return read_lists(customers, plans, RIGA)


@pytest.mark.parametrize("name", ["riga", "texas"])
def test_lists_of_the_examples_have_no_fault(name):
    folder = EXAMPLES / name
    lists = read_lists(
        (folder / "customers.jsonc").read_text(),
        (folder / "plans.jsonc").read_text(),
        load_deployment(folder / "deployment.jsonc"),
    )
    assert lists.customers.customers


def drained_all(service: str) -> str:
    names = [one.id for one in RIGA.instances if one.service == service]
    texts = ", ".join(f'"{name}"' for name in names)
    return PLANS.rstrip().removesuffix("}") + f'"drained": [{texts}]}}'


@pytest.mark.parametrize(
    ("customers", "plans", "field", "words"),
    [
        pytest.param(
            CUSTOMERS.replace('"plan": "full"', '"plan": "fulll"'),
            PLANS,
            "customers[0].plan",
            "use one of full, partner",
            id="unknown-plan",
        ),
        pytest.param(
            CUSTOMERS.replace("krajums", "kraajums"),
            PLANS,
            "customers[1].services[0]",
            "use one of katalogs",
            id="unknown-service",
        ),
        pytest.param(
            CUSTOMERS,
            PLANS.replace('"latgale"]', '"latgalia"]'),
            "plans[0].regions[2]",
            "use one of kurzeme",
            id="unknown-region",
        ),
        pytest.param(
            CUSTOMERS.replace('["krajums"]', '["krajums", "katalogs"]'),
            PLANS,
            "customers[1].services[1]",
            "sum to at most 1",
            id="beyond-capacity",
        ),
        pytest.param(
            CUSTOMERS,
            drained_all("raksti"),
            "drained[0]",
            "leave at least one instance",
            id="last-instance",
        ),
        pytest.param(
            CUSTOMERS,
            drained_all("raksti"),
            "customers[0].services[2]",
            "add a region",
            id="no-region",
        ),
        pytest.param(
            CUSTOMERS,
            PLANS.replace('"capacity": 0.5', '"capacity": 1.5'),
            "plans[1].capacity",
            "schema",
            id="out-of-range",
        ),
        pytest.param(
            CUSTOMERS,
            PLANS.replace('"urgent": 0.3', '"urgent": 0.9'),
            "plans[0].floor",
            "sum to at most 1",
            id="floors",
        ),
        pytest.param(
            CUSTOMERS.replace('"id": "coop', '"id": "x", "id": "coop'),
            PLANS,
            "customers[0].id",
            "keep one",
            id="repeated-key",
        ),
        pytest.param(
            CUSTOMERS,
            PLANS.replace("},\n  ]", "} 7\n ]"),
            "file",
            "syntax",
            id="syntax",
        ),
    ],
)
def test_fault_names_field_line_and_remedy(customers, plans, field, words):
    with pytest.raises(ListsInvalid) as caught:
        read_lists(customers, plans, RIGA)
    faults = [one for one in caught.value.faults if one.field == field]
    assert faults, caught.value.faults
    assert words in f"{faults[0].remedy}"
    assert faults[0].line > 1
    assert faults[0].file in ("customers.jsonc", "plans.jsonc")


def test_faults_of_both_files_come_at_once():
    with pytest.raises(ListsInvalid) as caught:
        read_lists(
            CUSTOMERS.replace('"veto": true', '"vote": true'),
            PLANS.replace('"capacity": 0.5', '"capacity": "half"'),
            RIGA,
        )
    files = [one.file for one in caught.value.faults]
    assert files.count("customers.jsonc") == 2
    assert files.count("plans.jsonc") == 1


@pytest.mark.parametrize("text", ["", "[" * 5000, "{", "null", "7", '"\x00"', "\ufffd"])
def test_hostile_document_is_refused_with_a_code(text):
    with pytest.raises(ListsInvalid, match="MD1102"):
        read_lists(text, text, RIGA)


def test_raised_capacity_touches_own_customer_and_sharers_of_the_region():
    new = edited(PLANS.replace('"capacity": 0.5', '"capacity": 0.6'))
    found = {one.customer: one for one in touched(riga_lists(), new, RIGA)}
    assert not found["partner-shops"].shared
    assert found["cooperative"].shared
    assert "partner-shops may use more" in found["cooperative"].reasons[0]


def test_lowered_capacity_touches_only_its_own_customer():
    new = edited(PLANS.replace('"capacity": 0.5', '"capacity": 0.4'))
    assert [one.customer for one in touched(riga_lists(), new, RIGA)] == [
        "partner-shops"
    ]


def test_change_cannot_take_away_the_veto_that_could_stop_it():
    new = edited(customers=CUSTOMERS.replace('"veto": true', '"veto": false'))
    assert all(one.veto for one in touched(riga_lists(), new, RIGA))


def test_delta_applied_to_its_base_gives_the_new_lists():
    old, new = riga_lists(), edited(PLANS.replace("0.5", "0.25"))
    assert apply_delta(old, make_delta(old, new)).digest == new.digest


def test_delta_on_an_item_changed_meanwhile_conflicts():
    old = riga_lists()
    first = edited(PLANS.replace("0.5", "0.25"))
    second = edited(PLANS.replace("0.5", "0.125"))
    with pytest.raises(DeltaConflict, match="partner"):
        apply_delta(first, make_delta(old, second))


def test_drained_instances_are_faults_only_when_the_last():
    lists = riga_lists()
    plans = PlanList(plans=lists.plans.plans, drained=(InstanceId("raksti-1"),))
    assert not check_lists(Lists(customers=lists.customers, plans=plans), RIGA)


def test_schema_names_every_field_of_a_plan():
    properties = schemas()["plans"]["$defs"]["Plan"]["properties"]
    assert set(properties) == {"id", "capacity", "regions", "top_rank", "floor"}
