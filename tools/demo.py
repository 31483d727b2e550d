"""The demo: a whole site on this machine, shown step by step."""

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
        await _lookup_and_order(address)
        await _drain_and_return(site, address)
        for each in site.entries:
            _expect(await site.group.stop(each.entry) == 0, f"{each.entry} stopped, exit status 0")


async def _apply(site: sites.Site) -> None:
    document = sites.document_for(site, SERVICES)
    answer = await site.operate("entry-0", "PUT", "document", {"document": document, "expected": 0})
    _expect(answer.status == 200, f"inventory and rules accepted: {answer.body.decode()}")
    for each in site.entries:
        await site.wait_status(each.entry, _all_serving)
    _step("in force on every entry; 3 groups of 2 VMs serve")


def _all_serving(status: dict) -> bool:
    return bool(status["services"]) and all(
        service["serving"] >= service["wanted"] for service in status["services"]
    )


async def _ask_directory(site: sites.Site) -> str:
    url = f"http://{site.entries[1].callers}/toucanhold/v1/addresses"
    answer = (await sites.call("GET", url)).json()
    _expect(len(answer["addresses"]) == 3, f"the directory names {answer['addresses']}")
    return answer["addresses"][0]["address"]


async def _chat(address: str) -> None:
    body = {
        "model": MODEL,
        "stream": True,
        "messages": [{"role": "user", "content": "Summarise table 3 for the county."}],
    }
    answer = await sites.call("POST", f"http://{address}/v1/chat/completions", body)
    tokens = answer.body.count(b"chat.completion.chunk")
    whole = answer.status == 200 and answer.body.rstrip().endswith(b"data: [DONE]")
    _expect(whole, f"a streamed chat request was answered whole, {tokens} events")


async def _lookup_and_order(address: str) -> None:
    url = f"http://{address}/services/{PLAIN}"
    found = await sites.call("GET", f"{url}/records/7")
    _expect(found.status == 200, f"a lookup was answered: {found.body.decode()}")
    key = {"idempotency-key": "demo-1"}
    first = await sites.call("POST", f"{url}/publish", {"release": 7}, key)
    _expect(first.status == 200, f"an order ran: {first.body.decode()}")


async def _drain_and_return(site: sites.Site, address: str) -> None:
    zone = f"availability-zones/{ZONES[0]}"
    answer = await site.operate("entry-1", "PUT", zone, {"out": True})
    _expect(answer.status == 200, f"{ZONES[0]} is taken out")
    for each in site.entries:
        await site.wait_status(each.entry, lambda status: status["zones"][0]["out"], 3)
    _step(f"no entry gives {ZONES[0]} new work")
    await _chat(address)
    answer = await site.operate("entry-2", "PUT", zone, {"out": False})
    _expect(answer.status == 200, f"{ZONES[0]} is returned")
    for each in site.entries:
        await site.wait_status(each.entry, _all_serving)
    _step("all groups serve again")


def _step(text: str) -> None:
    print(f"demo: {text}", flush=True)


def _expect(holds: bool, text: str) -> None:
    if not holds:
        raise SystemExit(f"demo: FAILED: {text}")
    _step(text)


if __name__ == "__main__":
    sys.exit(main())
