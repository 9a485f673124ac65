"""The operator's calls from the command line: from one ingress to the next until one answers."""

from __future__ import annotations

import http.client
import json
from dataclasses import dataclass

from expression import Error, Ok, Result

from ..settings import parse_address

TIMEOUT_S = 8.0
MAX_REDIRECTS = 2
"""How often a 307 is followed for one address (PROTOCOL.md, callers of `control_plane`)."""
NO_ANSWER = 0
"""In place of an HTTP status, where the connection failed."""
NOT_SENT = -1
"""In place of an HTTP status, where no address was given."""
REDIRECT_SCHEME = "http://"
RETRYABLE_CLIENT_ERRORS = (408, 429)
UNCERTAIN = "it may be in force or not: send the same again, unchanged, to any ingress; twice is once"


@dataclass(frozen=True, slots=True)
class Call:
    """One of the operator's calls."""

    method: str
    path: str
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class Answer:
    """What one ingress answered; `NO_ANSWER` and the reason where there is none."""

    status: int
    text: str
    location: str = ""

    def is_success(self) -> bool:
        """Return whether the call was done."""
        return 200 <= self.status < 300

    def is_redirect(self) -> bool:
        """Return whether another ingress is named."""
        return self.status == 307 and self.location.startswith(REDIRECT_SCHEME)

    def is_rejection(self) -> bool:
        """Return whether any other ingress would answer the same."""
        return 400 <= self.status < 500 and self.status not in RETRYABLE_CLIENT_ERRORS


@dataclass(frozen=True, slots=True)
class CallFailure:
    """Why a call was not done: the last answer, and the address that gave it."""

    call: Call
    status: int
    reason: str

    @classmethod
    def from_answer(cls, call: Call, address: str, answer: Answer) -> CallFailure:
        """Describe an answer that is no success."""
        if answer.status == NO_ANSWER:
            return cls(call, NO_ANSWER, f"{address}: {answer.text}")
        text = " ".join(answer.text.split())
        return cls(call, answer.status, f"{address}: {answer.status} {text}".strip())

    def message(self) -> str:
        """Return the reason and what to do, in one line."""
        return "; ".join(filter(None, (self.reason, self._advice())))

    def _advice(self) -> str:
        """Return what the status means for this call, and what is to be done."""
        match self.call.method, self.call.path, self.status:
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
                return UNCERTAIN
            case "POST", _, 503:
                return "no majority of the core in time: " + UNCERTAIN
            case "GET", "/status", _:
                return ""
            case "GET", _, 0 | 503:
                return "no fresh contact with a majority of the core: what is in force can't be told here, ask another"
        return ""


def ask(addresses: str, method: str, path: str, body: bytes = b"") -> Result[str, str]:
    """Send a call to each address in turn until one answers clearly.

    Args:
        addresses: control addresses, host:port, commas between them.
        method: the HTTP method.
        path: the call's path.
        body: the request's body.

    Returns:
        The body of a 2xx, or why there is none and what to do, in one line.  A 4xx is a clear answer, apart from 408
        and 429; after anything else the next address is asked.
    """
    call = Call(method, path, body)
    failure = CallFailure(call, NOT_SENT, "no address")
    for address in filter(None, addresses.split(",")):
        try:
            host, port = parse_address(address)
        except ValueError as error:
            return Error(f"--at: {error}")
        answer = _send_following_redirects(host, port, call)
        if answer.is_success():
            return Ok(answer.text)
        failure = CallFailure.from_answer(call, address, answer)
        if answer.is_rejection():
            break
    return Error(failure.message())


def _send_following_redirects(host: str, port: int, call: Call) -> Answer:
    answer = _send(host, port, call)
    for _ in range(MAX_REDIRECTS):
        if not answer.is_redirect():
            break
        authority, _, path = answer.location.removeprefix(REDIRECT_SCHEME).partition("/")
        host, port = parse_address(authority)
        answer = _send(host, port, Call(call.method, "/" + path, call.body))
    return answer


def _send(host: str, port: int, call: Call) -> Answer:
    connection = http.client.HTTPConnection(host, port, timeout=TIMEOUT_S)
    try:
        connection.request(call.method, call.path, call.body, {"Content-Type": "application/json"})
        response = connection.getresponse()
        text = response.read().decode("utf-8", "replace")
    except (OSError, http.client.HTTPException) as error:
        return Answer(NO_ANSWER, str(error))
    finally:
        connection.close()
    return Answer(response.status, text, response.getheader("Location", ""))


def rollback(addresses: str, version: int) -> Result[str, str]:
    """Send an earlier configuration again, as the version after the newest.

    Returns:
        A sentence with the new version's number, or why it is not in force.
    """

    def replace(earlier: str, newest: str) -> Result[str, str]:
        configuration = json.loads(earlier)
        new_version = json.loads(newest)["config_version"] + 1
        configuration["config_version"] = new_version
        sent = ask(addresses, "POST", "/config/replace", json.dumps(configuration).encode())
        return sent.map(lambda _: f"version {version} is in force again as {new_version}")

    earlier = ask(addresses, "GET", f"/config/history/{version}")
    return earlier.bind(
        lambda earlier_body: ask(addresses, "GET", "/config/read").bind(
            lambda newest_body: replace(earlier_body, newest_body)
        )
    )
