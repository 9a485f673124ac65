"""HTTP client for the operator's calls: tries one ingress after the other until one gives a final answer."""

from __future__ import annotations

import http.client
import json
from dataclasses import dataclass

from expression import Error, Ok, Result

from ..settings import parse_address

REQUEST_TIMEOUT_S = 8.0
MAX_REDIRECTS = 2
"""Maximum number of 307 redirects followed per address (PROTOCOL.md, callers of `control_plane`)."""
NO_ANSWER = 0
"""Stands for an HTTP status if the connection failed."""
NOT_SENT = -1
"""Stands for an HTTP status if no address was given."""
REDIRECT_SCHEME = "http://"
RETRYABLE_CLIENT_ERRORS = (408, 429)
UNCERTAIN_ADVICE = "it may be in force or not: send the same again, unchanged, to any ingress; twice is once"


@dataclass(frozen=True, slots=True)
class Call:
    """One of the operator's calls."""

    method: str
    path: str
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class Answer:
    """The answer of one ingress; if there is none, `NO_ANSWER` and the reason."""

    status: int
    text: str
    location: str = ""

    def is_success(self) -> bool:
        """Return whether the call succeeded."""
        return 200 <= self.status < 300

    def is_redirect(self) -> bool:
        """Return whether the answer redirects to another ingress."""
        return self.status == 307 and self.location.startswith(REDIRECT_SCHEME)

    def is_rejection(self) -> bool:
        """Return whether the answer is a rejection that every other ingress would give too."""
        return 400 <= self.status < 500 and self.status not in RETRYABLE_CLIENT_ERRORS


@dataclass(frozen=True, slots=True)
class CallFailure:
    """The reason why a call failed: the last answer, and the address that gave it."""

    call: Call
    status: int
    reason: str

    @classmethod
    def from_answer(cls, call: Call, address: str, answer: Answer) -> CallFailure:
        """Create the failure for an unsuccessful answer."""
        if answer.status == NO_ANSWER:
            return cls(call, NO_ANSWER, f"{address}: {answer.text}")
        text = " ".join(answer.text.split())
        return cls(call, answer.status, f"{address}: {answer.status} {text}".strip())

    def message(self) -> str:
        """Return the reason and advice for the operator, in one line."""
        return "; ".join(filter(None, (self.reason, self._advice())))

    def _advice(self) -> str:
        """Return the meaning of the status for this call, and what the operator can do."""
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
                return UNCERTAIN_ADVICE
            case "POST", _, 503:
                return "no majority of the core in time: " + UNCERTAIN_ADVICE
            case "GET", "/status", _:
                return ""
            case "GET", _, 0 | 503:
                return "no fresh contact with a majority of the core: what is in force can't be told here, ask another"
        return ""


def call_any_address(addresses: str, method: str, path: str, body: bytes = b"") -> Result[str, str]:
    """Send a call to each address in turn until one gives a final answer.

    Args:
        addresses: control addresses as host:port, separated by commas.
        method: the HTTP method.
        path: the path of the call.
        body: the body of the request.

    Returns:
        The body of a 2xx answer, or the reason of the failure and advice, in one line.  Final answers are 2xx, and 4xx
        apart from 408 and 429; after any other the next address is tried.
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
    connection = http.client.HTTPConnection(host, port, timeout=REQUEST_TIMEOUT_S)
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
        A sentence with the new version's number, or the reason why it is not in force.
    """

    def replace(earlier: str, newest: str) -> Result[str, str]:
        configuration = json.loads(earlier)
        new_version = json.loads(newest)["config_version"] + 1
        configuration["config_version"] = new_version
        sent = call_any_address(addresses, "POST", "/config/replace", json.dumps(configuration).encode())
        return sent.map(lambda _: f"version {version} is in force again as {new_version}")

    earlier = call_any_address(addresses, "GET", f"/config/history/{version}")
    return earlier.bind(
        lambda earlier_body: call_any_address(addresses, "GET", "/config/read").bind(
            lambda newest_body: replace(earlier_body, newest_body)
        )
    )
