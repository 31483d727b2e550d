"""The demo: a whole site on this machine, shown step by step."""

import json
import os
import sys

import trio

from standins import site as sites

ZONES = ("zone-a", "zone-b", "zone-c")
MODEL = "drafts"
PLAIN = "releases"
SERVICES = (
    {
        "name": MODEL,
        "model": "writer",
        "version": "1",
        "replicas": 3,
        "vms_per_replica": 2,
        "importance": 5,
    },
    {
        "name": PLAIN,
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
    site = sites.new_site(sites.log_folder(), ZONES, 3, PLAIN, 1, entries=3)
    site.engine_options = ("--warm-s", "0.5", "--load-s", "0.3")
    _step("starting the key-value service, 9 engines, 3 plain servers and 3 entries")
    async with sites.running(site):
        await _apply(site)
        address = await _ask_directory(site)
        await _chat(address)
        await _lookup_and_order(site, address)
        await _lose_a_vm(site, address)
        await _drain_and_return(site, address)
        for each in site.entries:
            _expect(
                await site.process_group.stop(each.entry) == 0,
                f"{each.entry} stopped, exit status 0",
            )


async def _apply(site: sites.Site) -> None:
    file = site.process_group.log_folder / "site.json"
    file.write_text(json.dumps(sites.document_for(site, SERVICES)))
    await _operate(site, "check", str(file))
    await _operate(site, "apply", str(file))
    for each in site.entries:
        await site.wait_status(each.entry, _all_serving)
    _step("3 groups of 2 VMs serve")


def _all_serving(status: dict) -> bool:
    return bool(status["services"]) and all(
        service["serving"] >= service["wanted"] for service in status["services"]
    )


async def _ask_directory(site: sites.Site) -> str:
    url = f"http://{site.entries[1].callers}/toucanhold/v1/addresses"
    addresses = (await sites.call("GET", url)).json()["addresses"]
    names = ", ".join(each["address"] for each in addresses)
    _expect(len(addresses) == 3, f"a caller asks one entry which to use: {names}")
    return addresses[0]["address"]


async def _chat(address: str) -> None:
    body = {
        "model": MODEL,
        "stream": True,
        "messages": [{"role": "user", "content": "Summarise table 3 for the county."}],
    }
    answer = await sites.call("POST", f"http://{address}/v1/chat/completions", body)
    events = answer.body.count(b"chat.completion.chunk")
    whole = answer.status == 200 and answer.body.rstrip().endswith(b"data: [DONE]")
    _expect(whole, f"a streamed chat request was answered whole, {events} events")


async def _lookup_and_order(site: sites.Site, address: str) -> None:
    url = f"http://{address}/services/{PLAIN}"
    found = await sites.call("GET", f"{url}/records/7")
    _expect(found.status == 200, f"a lookup was answered: {found.body.decode()}")
    key = {"idempotency-key": "demo-1"}
    first = await sites.call("POST", f"{url}/publish", {"release": 7}, key)
    _expect(first.status == 200, f"an order ran: {first.body.decode()}")
    other = f"http://{site.entries[2].callers}/services/{PLAIN}"
    again = await sites.call("POST", f"{other}/publish", {"release": 7}, key)
    same = again.status == 200 and again.body == first.body
    _expect(same, f"its repeat at another entry got the same answer: {again.body.decode()}")
    runs = 0
    for vm in site.vms:
        if vm.service:
            history = await sites.call("GET", f"http://{vm.address}/standin/history")
            runs += len(history.json()["orders"])
    _expect(runs == 1, "the servers saw it once")


async def _lose_a_vm(site: sites.Site, address: str) -> None:
    status = await site.status("entry-0")
    group = status["groups"][0]
    await site.process_group.kill(group["members"][1])
    _step(f"{group['members'][1]} of group {group['group']} was killed")
    for each in site.entries:
        await site.wait_status(
            each.entry,
            lambda seen: _all_serving(seen) and group not in seen["groups"],
        )
    _step("another group has taken its place")
    await _chat(address)


async def _drain_and_return(site: sites.Site, address: str) -> None:
    await _operate(site, "zone", "out", ZONES[1], "--yes")
    await _chat(address)
    await _operate(site, "zone", "in", ZONES[1])
    for each in site.entries:
        await site.wait_status(each.entry, _all_serving)
    await _operate(site, "status")


async def _operate(site: sites.Site, *words: str) -> None:
    print(f"demo: $ toucanhold {' '.join(words)}", flush=True)
    ran = await trio.run_process(
        [sys.executable, "-m", "toucanhold", *words],
        capture_stdout=True,
        stderr=None,
        check=False,
        env={
            **os.environ,
            "TOUCANHOLD_ENTRY_URL": f"http://{site.entries[1].operators}",
            "TOUCANHOLD_OPERATOR_TOKEN": sites.OPERATOR_TOKEN,
        },
    )
    print(ran.stdout.decode(), end="", flush=True)
    if ran.returncode:
        raise SystemExit(f"demo: FAILED: exit status {ran.returncode}")


def _step(text: str) -> None:
    print(f"demo: {text}", flush=True)


def _expect(holds: bool, text: str) -> None:
    if not holds:
        raise SystemExit(f"demo: FAILED: {text}")
    _step(text)


if __name__ == "__main__":
    sys.exit(main())
