"""Runs a demo: a complete site on this machine, step by step."""

import json
import os
import sys

import trio

from standins import site as sites

ZONES = ("zone-a", "zone-b", "zone-c")
MODEL_SERVICE = "drafts"
PLAIN_SERVICE = "releases"
SERVICES = (
    {
        "name": MODEL_SERVICE,
        "model": "writer",
        "version": "1",
        "replicas": 3,
        "vms_per_replica": 2,
        "importance": 5,
    },
    {
        "name": PLAIN_SERVICE,
        "kind": "plain",
        "importance": 10,
        "non_idempotent": [{"method": "POST", "path": "/publish"}],
    },
)


def main() -> int:
    """Run the demo; return 0 when every step worked."""
    trio.run(_demo)
    print("demo: ok")
    return 0


async def _demo() -> None:
    site = sites.new_site(sites.log_folder(), ZONES, 3, PLAIN_SERVICE, 1, entries=3)
    site.engine_options = ("--warm-s", "0.5", "--load-s", "0.3")
    _print_step("starting the key-value service, 9 engines, 3 plain servers and 3 entries")
    async with sites.running(site):
        await _apply_document(site)
        address = await _query_directory(site)
        await _send_chat(address)
        await _send_lookup_and_order(site, address)
        await _kill_vm(site, address)
        await _drain_and_restore_zone(site, address)
        for entry in site.entries:
            _require(
                await site.process_group.stop(entry.entry) == 0,
                f"{entry.entry} stopped, exit status 0",
            )


async def _apply_document(site: sites.Site) -> None:
    document_path = site.process_group.log_folder / "site.json"
    document_path.write_text(json.dumps(sites.document_for(site, SERVICES)))
    await _run_operator_command(site, "check", str(document_path))
    await _run_operator_command(site, "apply", str(document_path))
    for entry in site.entries:
        await site.wait_status(entry.entry, _all_serving)
    _print_step("3 groups of 2 VMs serve")


def _all_serving(status: dict) -> bool:
    return bool(status["services"]) and all(
        service["serving"] >= service["wanted"] for service in status["services"]
    )


async def _query_directory(site: sites.Site) -> str:
    url = f"http://{site.entries[1].callers}/toucanhold/v1/addresses"
    addresses = (await sites.call("GET", url)).json()["addresses"]
    names = ", ".join(item["address"] for item in addresses)
    _require(len(addresses) == 3, f"a caller asks one entry which to use: {names}")
    return addresses[0]["address"]


async def _send_chat(address: str) -> None:
    body = {
        "model": MODEL_SERVICE,
        "stream": True,
        "messages": [{"role": "user", "content": "Summarise table 3 for the county."}],
    }
    response = await sites.call("POST", f"http://{address}/v1/chat/completions", body)
    event_count = response.body.count(b"chat.completion.chunk")
    is_complete = response.status == 200 and response.body.rstrip().endswith(b"data: [DONE]")
    _require(is_complete, f"a streamed chat request was answered whole, {event_count} events")


async def _send_lookup_and_order(site: sites.Site, address: str) -> None:
    url = f"http://{address}/services/{PLAIN_SERVICE}"
    lookup = await sites.call("GET", f"{url}/records/7")
    _require(lookup.status == 200, f"a lookup was answered: {lookup.body.decode()}")
    headers = {"idempotency-key": "demo-1"}
    first_response = await sites.call("POST", f"{url}/publish", {"release": 7}, headers)
    _require(first_response.status == 200, f"an order ran: {first_response.body.decode()}")
    other_url = f"http://{site.entries[2].callers}/services/{PLAIN_SERVICE}"
    repeat = await sites.call("POST", f"{other_url}/publish", {"release": 7}, headers)
    is_same_response = repeat.status == 200 and repeat.body == first_response.body
    _require(
        is_same_response, f"its repeat at another entry got the same answer: {repeat.body.decode()}"
    )
    run_count = 0
    for vm in site.vms:
        if vm.service:
            history = await sites.call("GET", f"http://{vm.address}/standin/history")
            run_count += len(history.json()["orders"])
    _require(run_count == 1, "the servers saw it once")


async def _kill_vm(site: sites.Site, address: str) -> None:
    status = await site.status("entry-0")
    group = status["groups"][0]
    await site.process_group.kill(group["members"][1])
    _print_step(f"{group['members'][1]} of group {group['group']} was killed")
    for entry in site.entries:
        await site.wait_status(
            entry.entry,
            lambda current: _all_serving(current) and group not in current["groups"],
        )
    _print_step("another group has taken its place")
    await _send_chat(address)


async def _drain_and_restore_zone(site: sites.Site, address: str) -> None:
    await _run_operator_command(site, "zone", "out", ZONES[1], "--yes")
    await _send_chat(address)
    await _run_operator_command(site, "zone", "in", ZONES[1])
    for entry in site.entries:
        await site.wait_status(entry.entry, _all_serving)
    await _run_operator_command(site, "status")


async def _run_operator_command(site: sites.Site, *arguments: str) -> None:
    print(f"demo: $ toucanhold {' '.join(arguments)}", flush=True)
    completed = await trio.run_process(
        [sys.executable, "-m", "toucanhold", *arguments],
        capture_stdout=True,
        stderr=None,
        check=False,
        env={
            **os.environ,
            "TOUCANHOLD_ENTRY_URL": f"http://{site.entries[1].operators}",
            "TOUCANHOLD_OPERATOR_TOKEN": sites.OPERATOR_TOKEN,
        },
    )
    print(completed.stdout.decode(), end="", flush=True)
    if completed.returncode:
        raise SystemExit(f"demo: FAILED: exit status {completed.returncode}")


def _print_step(text: str) -> None:
    print(f"demo: {text}", flush=True)


def _require(condition: bool, text: str) -> None:
    if not condition:
        raise SystemExit(f"demo: FAILED: {text}")
    _print_step(text)


if __name__ == "__main__":
    sys.exit(main())
