"""The operator's calls from the command line: from one ingress to the next until one answers."""

from __future__ import annotations

import http.client
import json

from expression import Error, Ok, Result

from ..settings import parse_address

WAIT_S = 8.0
HOPS = 2
AGAIN = "it may be in force or not: send the same again, unchanged, to any ingress; twice is once"


def meaning(method: str, path: str, status: int) -> str:
    """What an answer that is no 2xx means for the operator, and what is to be done; status 0: none came."""
    match method, path, status:
        case "POST", "/config/replace", 409:
            return (
                "the number stands for another configuration, for good, and yours is not in force: `config read` "
                "what is, and send yours under a higher number"
            )
        case "POST", "/config/replace", 400:
            return "nothing was changed: the key named is at fault"
        case "POST", _, 409:
            return "refused: nothing was changed"
        case "POST", _, 0:
            return AGAIN
        case "POST", _, 503:
            return "no majority of the core in time: " + AGAIN
        case "GET", "/status", _:
            return ""
        case "GET", _, 0 | 503:
            return "no fresh contact with a majority of the core: what is in force can't be told here, ask another"
    return ""


def ask(at: str, method: str, path: str, body: bytes = b"") -> Result[str, str]:
    """The body of a 2xx, or why there is none and what to do.  A 4xx is an answer; after anything else the next one is
    asked.
    """
    asked, said, status = path, "no address", -1

    def fault() -> Result[str, str]:
        return Error("; ".join(filter(None, (said, meaning(method, asked, status)))))

    for place in filter(None, at.split(",")):
        try:
            host, port = parse_address(place)
        except ValueError as err:
            return Error(f"--at: {err}")
        for _ in range(HOPS + 1):
            line = http.client.HTTPConnection(host, port, timeout=WAIT_S)
            try:
                line.request(method, path, body, {"Content-Type": "application/json"})
                answer = line.getresponse()
                text = answer.read().decode("utf-8", "replace")
            except (OSError, http.client.HTTPException) as err:
                said, status = f"{place}: {err}", 0
                break
            finally:
                line.close()
            if 200 <= answer.status < 300:
                return Ok(text)
            said, status = f"{place}: {answer.status} {' '.join(text.split())}".strip(), answer.status
            if answer.status == 307 and (to := answer.getheader("Location", "")).startswith("http://"):
                where, _, rest = to.removeprefix("http://").partition("/")
                (host, port), path = parse_address(where), "/" + rest
                continue
            if 400 <= answer.status < 500 and answer.status not in (408, 429):
                return fault()
            break
    return fault()


def rollback(at: str, version: int) -> Result[str, str]:
    """Send an earlier configuration again, as the version after the newest; the new version's number."""

    def send(bodies: tuple[str, str]) -> Result[str, str]:
        old, newest = (json.loads(body) for body in bodies)
        old["config_version"] = newest["config_version"] + 1
        sent = ask(at, "POST", "/config/replace", json.dumps(old).encode())
        return sent.map(lambda _: f"version {version} is in force again as {old['config_version']}")

    old = ask(at, "GET", f"/config/history/{version}")
    return old.bind(lambda body: ask(at, "GET", "/config/read").bind(lambda newest: send((body, newest))))
