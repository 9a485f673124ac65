"""Samples of all messages on the wire and files on the disk, with fixed values, and the golden files made of them.

The golden files in `golden/` were written by an earlier version of the program.  Renames in the sources must not change
a byte of them.  `python -m tests.balancer.golden_samples` rewrites them; this is right only if the format is meant to
change.

Only the imports and the sample functions name the classes of the system.  Fields are given by name, because otherwise a
swap of two fields of the same type would go unnoticed.  A rename of a field has to be repeated here.
"""

from __future__ import annotations

import typing
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from zlib import crc32

import msgspec

from mapleline.balancer.cli import data_folder
from mapleline.balancer.control.audit_log import AuditLog
from mapleline.balancer.control.commands import RemoveReplica, ReplaceConfiguration, SetEvacuation
from mapleline.balancer.control.consensus import Record
from mapleline.balancer.control.snapshot import SnapshotStore
from mapleline.balancer.control.state import ConfigurationRef, Replica, State, content_digest
from mapleline.balancer.discovery.endpoints import EndpointList, ListedInstance
from mapleline.balancer.membership.member import Member, MemberFlags
from mapleline.balancer.membership.table import MembershipTable
from mapleline.balancer.transport import messages
from mapleline.balancer.transport.fencing import Fence, OutstandingCall, ReceivedCall

GOLDEN = Path(__file__).parent / "golden"
MESSAGES_FILE = GOLDEN / "messages.hex"
MESSAGES_BEFORE_SLOTS_FILE = GOLDEN / "messages_before_slots.hex"  # counter messages as earlier versions send them
STAMPED_FILE = GOLDEN / "sealed.hex"
PARTS_FILE = GOLDEN / "parts.hex"
DUMP_FILE, EARLIER_DUMP_FILE = GOLDEN / "dump.json", GOLDEN / "dump_earlier.json"
SNAPSHOTS, HISTORY, EARLIER = GOLDEN / "snapshots", GOLDEN / "history", GOLDEN / "earlier"

DATAGRAMS = typing.get_args(messages.Datagram)
CALLS = typing.get_args(messages.Call)
REPLIES = typing.get_args(messages.Reply)

SYSTEM = 0x5EED0001
ZONES = {"a1": "a", "a2": "a", "a3": "a"}  #: zones of the simulated system that is started on the golden folders
ADDRESSES = (0x0A010001, 0x0A020001, 0x0A030001)  #: its machines with a disk: 10.1.0.1, 10.2.0.1, 10.3.0.1
DISKS = (0x11111111, 0x22222222, 0x33333333)
OLD_VERSION, NEW_VERSION = 6, 7  #: versions of the two configurations
EVACUATED_ZONE = "a3"

SENDER, RECEIVER = ADDRESSES[0], ADDRESSES[1]
SENDER_INCARNATION, RECEIVER_INCARNATION = 0x01020304, 0x05060708


# -- common values -----------------------------------------------------------------------------------------


def config_body(version: int) -> bytes:
    """Return a configuration as an operator sends it, from a file, so that it depends on no other code."""
    return (GOLDEN / f"config_{version}.json").read_bytes()


def contents(*versions: int) -> dict[int, bytes]:
    """Return the bodies of configurations by their digests."""
    return {content_digest(config_body(version)): config_body(version) for version in versions}


def voters() -> tuple[Replica, ...]:
    """Return the three replicas of the simulated system."""
    return tuple(
        Replica(ip=ip, disk_id=disk, zone=zone) for zone, (ip, disk) in enumerate(zip(ADDRESSES, DISKS, strict=True))
    )


def agreed_state(number: int, version: int) -> State:
    """Return a committed state without a change of members in progress."""
    past = tuple(ConfigurationRef(old, content_digest(config_body(old))) for old in range(OLD_VERSION, version + 1))
    config = ConfigurationRef(version, content_digest(config_body(version)))
    return State(
        number=number,
        system=SYSTEM,
        epoch=2,
        voters=voters(),
        former=(),
        config=config,
        evacuated=(EVACUATED_ZONE,),
        changed=((EVACUATED_ZONE, 4),),
        past=past,
    )


def full_state() -> State:
    """Return a state in which no field has its default."""
    config = ConfigurationRef(NEW_VERSION, content_digest(config_body(NEW_VERSION)))
    former = (Replica(ip=0x0A040001, disk_id=0x44444444, zone=3), Replica(ip=0x0A050001, disk_id=0, zone=4))
    return State(
        number=9,
        system=SYSTEM,
        epoch=3,
        voters=voters(),
        former=former,
        config=config,
        evacuated=("a1", "a3"),
        changed=(("a1", 8), ("a3", 4)),
        past=(ConfigurationRef(6, 600), ConfigurationRef(7, 700)),
    )


def bare_state() -> State:
    """Return a state in which every field that has a default has it."""
    return State(number=1, system=SYSTEM, epoch=1, voters=(Replica(ip=SENDER, disk_id=DISKS[0]),))


# -- messages ----------------------------------------------------------------------------------------------


def datagram_samples() -> dict[str, messages.Datagram]:
    """Return a sample of each datagram without defaults, and one with all defaults (`_bare`)."""
    part = messages.CounterRows(tenant="t1", slot=170, rows=[(SENDER, 3, 1.5), (RECEIVER, 4, 2.25)])
    return {
        "heartbeat": messages.Heartbeat(
            member_rows=b"\x00rows\xff",
            state_number=6,
            endpoints_digest=0xDEADBEEF,
            endpoints_age_ms=1200,
            wants_reply=True,
            leader_term=5,
            leader_ip=SENDER,
        ),
        "heartbeat_bare": messages.Heartbeat(member_rows=b"", state_number=0, endpoints_digest=0, endpoints_age_ms=0),
        "replica_query": messages.StateQuery(nonce=0x7FFFFFFF, receiver_disk_id=DISKS[1], receiver_record_version=12),
        "replica_query_bare": messages.StateQuery(nonce=1),
        "replica_status": messages.StateReport(
            nonce=0x7FFFFFFF,
            disk_id=DISKS[1],
            record_version=12,
            accepted_number=7,
            committed_number=6,
            durable_number=5,
            staleness_ms=250,
            receiver_disk_id=DISKS[0],
            receiver_record_version=11,
            is_verified=False,
        ),
        "replica_status_bare": messages.StateReport(
            nonce=1, disk_id=0, record_version=0, accepted_number=0, committed_number=0, durable_number=0
        ),
        "chosen": messages.Chosen(ballot=(4, SENDER, DISKS[0]), state_number=6),
        "count_add": messages.CounterIncrement(
            nonce=77,
            tenant="t1",
            sender_slot=170,
            units=2.5,
            home_regions=["a", "b"],
            window_limit=20.0,
            is_addition=False,
            window_slots=5,
        ),
        "count_add_bare": messages.CounterIncrement(
            nonce=77, tenant="t1", sender_slot=170, units=2.5, home_regions=[], window_limit=20.0
        ),
        "count_total": messages.CounterValue(
            nonce=77, units_before=3.5, previous_window_units=18.75, remaining_permille=250, quota_window_units=41
        ),
        "count_total_bare": messages.CounterValue(nonce=77, units_before=3.5, previous_window_units=18.75),
        "count_rows": messages.CounterSync(
            counters=[part, messages.CounterRows(tenant="t2", slot=171, rows=[])],
            is_answer=True,
            sender_unix_ms=1_700_000_000_250,
            wants_past=True,
            known_tenants=["t1"],
        ),
        "count_rows_bare": messages.CounterSync(counters=[]),
        "server_load": messages.LoadReport(
            in_flight={0x01020304: 3, 0xFFFFFFFF: 1}, failure_tenths={0x01020304: 2}, sequence=41
        ),
        "server_load_bare": messages.LoadReport(in_flight={}, failure_tenths={}),
        "vote_request": messages.VoteRequest(term=5),
        "vote": messages.Vote(term=5),
        "lease_request": messages.LeaseRequest(
            nonce=78, incarnation=SENDER << 32 | SENDER_INCARNATION, lease_ids=[3, 300, 70000]
        ),
        "lease_grant": messages.LeaseGrant(nonce=78, voter_count=3, lease_ids=[3, 70000]),
    }


def call_samples() -> dict[str, messages.Call]:
    """Return samples of each call, and of each command of an operator in a call."""
    ballot = (4, SENDER, DISKS[0])
    return {
        "prepare": messages.Prepare(
            ballot=ballot, known_number=6, known_content=content_digest(config_body(NEW_VERSION))
        ),
        "prepare_bare": messages.Prepare(ballot=ballot, known_number=6),
        "accept": messages.Accept(ballot=ballot, state=full_state(), configuration_body=b'{"config_version": 7}'),
        "accept_bare": messages.Accept(ballot=ballot, state=bare_state()),
        "propose_replace": messages.Propose(
            command=ReplaceConfiguration(version=7, digest=0xFEDCBA9876543210),
            configuration_body=b'{"config_version": 7}',
        ),
        "propose_replace_bare": messages.Propose(command=ReplaceConfiguration(version=7, digest=0xFEDCBA9876543210)),
        "propose_evacuate": messages.Propose(
            command=SetEvacuation(zone="a3", is_evacuated=True, known_number=6), configuration_body=b"body"
        ),
        "propose_evacuate_bare": messages.Propose(command=SetEvacuation(zone="a3", is_evacuated=False)),
        "propose_forget": messages.Propose(command=RemoveReplica(ip=RECEIVER), configuration_body=b"body"),
        "pull": messages.FetchState(
            known_number=6,
            known_content=content_digest(config_body(NEW_VERSION)),
            wants_full_state=True,
            wants_state=False,
            wants_endpoints=True,
        ),
        "pull_bare": messages.FetchState(),
    }


def reply_samples() -> dict[str, messages.Reply]:
    """Return samples of each reply."""
    ballot, higher = (4, SENDER, DISKS[0]), (5, RECEIVER, DISKS[1])
    return {
        "promised": messages.Promised(
            is_granted=True,
            disk_id=DISKS[1],
            promised_ballot=higher,
            accepted_ballot=ballot,
            accepted_state=full_state(),
            configuration_body=b'{"config_version": 7}',
            record_version=12,
        ),
        "promised_bare": messages.Promised(is_granted=False, disk_id=0),
        "accepted": messages.Accepted(
            is_granted=True, disk_id=DISKS[1], promised_ballot=higher, needs_body=True, record_version=13
        ),
        "accepted_bare": messages.Accepted(is_granted=False, disk_id=0),
        "proposed": messages.Proposed(status=409, text="config_version 7 stands for another configuration"),
        "proposed_bare": messages.Proposed(status=200),
        "pulled": messages.FetchedState(
            state=full_state(),
            configuration_body=b'{"config_version": 7}',
            endpoints_body=endpoint_list_body(),
            endpoints_age_ms=800,
        ),
        "pulled_bare": messages.FetchedState(),
    }


def decoded_message(name: str, data: bytes) -> object:
    """Return a golden message as decoded by the present sources."""
    if name in datagram_samples():
        return messages.decode_datagram(data)
    return messages.decode_call(data) if name in call_samples() else messages.decode_reply(data)


def encoded_messages() -> dict[str, bytes]:
    """Return all samples as encoded by the present sources."""
    samples = datagram_samples() | call_samples() | reply_samples()
    return {name: messages.encode(sample) for name, sample in samples.items()}


# -- stamped messages --------------------------------------------------------------------------------------


def fence(ip: int, incarnation: int, known: dict[int, int], system: int = SYSTEM) -> Fence:
    """Return the fence of a process that knows these incarnations of other processes."""
    table = MembershipTable(Member(ip, 0, MemberFlags.HAS_DISK, incarnation), 0.5)
    for other, other_incarnation in known.items():
        table.observe_incarnation(other, other_incarnation)
    return Fence(table, system)


def sender_fence() -> Fence:
    """Return the fence of the process that sends the datagrams and calls."""
    return fence(SENDER, SENDER_INCARNATION, {RECEIVER: RECEIVER_INCARNATION})


def receiver_fence() -> Fence:
    """Return the fence of the process to which they are addressed."""
    return fence(RECEIVER, RECEIVER_INCARNATION, {SENDER: SENDER_INCARNATION})


def restarted_receiver_fence() -> Fence:
    """Return the fence of the receiver's next incarnation, which refuses messages to the earlier one."""
    return fence(RECEIVER, RECEIVER_INCARNATION + 1, {SENDER: SENDER_INCARNATION})


@dataclass
class Exchange:
    """One call with its caller, its callee and its reply."""

    caller: Fence
    outstanding: OutstandingCall
    request: bytes
    callee: Fence
    received: ReceivedCall
    reply: bytes


def exchange() -> Exchange:
    """Return a call that was sent, received and answered."""
    caller, callee = sender_fence(), receiver_fence()
    outstanding, request = caller.stamp_call(RECEIVER, call_samples()["accept"])
    received = callee.receive_call(request)
    return Exchange(
        caller, outstanding, request, callee, received, callee.stamp_reply(received, reply_samples()["accepted"])
    )


def stamped_samples() -> dict[str, bytes]:
    """Return samples of messages with stamps, and of refusals, as sent on the wire."""
    sender, samples = sender_fence(), datagram_samples()
    to_one_incarnation = sender.stamp_datagram(RECEIVER, samples["replica_query"])
    call = exchange()
    return {
        "datagram_to_any_life": sender.stamp_datagram(RECEIVER, samples["heartbeat"]),
        "datagram_to_one_life": to_one_incarnation,
        "datagram_before_founding": fence(SENDER, SENDER_INCARNATION, {}, 0).stamp_datagram(
            RECEIVER, samples["replica_query"]
        ),
        "datagram_refusal": restarted_receiver_fence().receive_datagram(SENDER, to_one_incarnation)[1],
        "call_request": call.request,
        "call_reply": call.reply,
        "call_refusal": restarted_receiver_fence().receive_call(call.request).refusal,
    }


# -- encoded parts of messages -----------------------------------------------------------------------------


def listed_instances() -> list[ListedInstance]:
    """Return entries of the platform's list, one with every default and one with none."""
    return [
        ListedInstance(instance_id="i-1", target_service="slots", address="10.128.0.1:8080", zone="a1"),
        ListedInstance(
            instance_id="i-2",
            target_service="records",
            address="10.128.1.2:8081",
            zone="a2",
            state="draining",
            slot_count=4,
            cold_left="1500ms",
            turn=0,
        ),
    ]


def sample_endpoint_list() -> EndpointList:
    """Return a list fetched twice; at the second fetch the warm-up of one server has restarted."""
    endpoints = EndpointList(0.8)
    endpoints.update_from_platform(100.0, listed_instances())
    endpoints.update_from_platform(105.0, listed_instances())
    return endpoints


def endpoint_list_body() -> bytes:
    """Return the list as encoded between ingresses."""
    return sample_endpoint_list().body


def heartbeat_table() -> MembershipTable:
    """Return a table of three ingresses."""
    table = MembershipTable(
        Member(SENDER, 0, MemberFlags.HAS_DISK | MemberFlags.READY, SENDER_INCARNATION, 40, 99.5), 0.5
    )
    table.members[RECEIVER] = Member(
        RECEIVER, 1, MemberFlags.HAS_DISK | MemberFlags.CAN_PROPOSE | MemberFlags.READY, RECEIVER_INCARNATION, 41, 99.0
    )
    table.members[ADDRESSES[2]] = Member(ADDRESSES[2], 2, 0)
    return table


def part_samples() -> dict[str, bytes]:
    """Return samples of the byte fields of messages, which other parts of the sources decode."""
    endpoints = sample_endpoint_list()
    return {
        "heartbeat_rows": heartbeat_table().encode(100.0),
        "server_list": endpoints.body,
        "server_list_digest": endpoints.digest.to_bytes(4, "big"),
    }


# -- data folders ------------------------------------------------------------------------------------------


@dataclass(frozen=True)
class SnapshotSample:
    """A replica's record and the contents to which it refers."""

    record: Record
    contents: dict[int, bytes]


def snapshot_samples() -> dict[str, SnapshotSample]:
    """Return folders by name: those of the simulated system's three machines, and edge cases of the format."""
    old, new = agreed_state(5, OLD_VERSION), agreed_state(6, NEW_VERSION)
    ballot, higher = (4, SENDER, DISKS[0]), (5, RECEIVER, DISKS[1])
    both = contents(OLD_VERSION, NEW_VERSION)
    first, second, third = ({"ip": ip, "disk_id": disk} for ip, disk in zip(ADDRESSES, DISKS, strict=True))
    return {
        "machine_1": SnapshotSample(
            Record(
                **first,
                promised=ballot,
                accepted_ballot=ballot,
                accepted_state=new,
                earlier_chosen=None,
                is_accepted_chosen=True,
                version=12,
            ),
            contents(NEW_VERSION),
        ),
        "machine_2": SnapshotSample(
            Record(
                **second,
                promised=ballot,
                accepted_ballot=ballot,
                accepted_state=new,
                earlier_chosen=old,
                is_accepted_chosen=False,
                version=11,
            ),
            both,
        ),
        "machine_3": SnapshotSample(
            Record(
                **third,
                promised=higher,
                accepted_ballot=ballot,
                accepted_state=new,
                earlier_chosen=None,
                is_accepted_chosen=True,
                version=13,
            ),
            contents(NEW_VERSION),
        ),
        "every_field": SnapshotSample(
            Record(
                **first,
                promised=higher,
                accepted_ballot=ballot,
                accepted_state=full_state(),
                earlier_chosen=old,
                is_accepted_chosen=True,
                version=99,
            ),
            both,
        ),
        "empty": SnapshotSample(Record(**first), {}),
    }


def restored_sample() -> SnapshotSample:
    """Return the restored dump of machine 1: its state without an identity, hence without a vote."""
    none = (0, 0, 0)
    return SnapshotSample(
        Record(
            ip=0,
            disk_id=0,
            promised=none,
            accepted_ballot=none,
            accepted_state=None,
            earlier_chosen=agreed_state(6, NEW_VERSION),
            is_accepted_chosen=False,
            version=1,
        ),
        contents(NEW_VERSION),
    )


def write_snapshot(folder: Path, sample: SnapshotSample) -> None:
    """Write the folder with the present sources."""
    store = SnapshotStore(str(folder))
    store.load()
    store.save(sample.record, sample.contents)


def write_history(folder: Path) -> AuditLog:
    """Write a history of two configurations and two commands with the present sources."""
    history = AuditLog(str(folder), 1 << 20)
    for version in (OLD_VERSION, NEW_VERSION):
        history.record_change(1.7e9 + version, "config", version, f"{version:x}", config_body(version))
    history.record_command(1.7e9 + 10, "config", NEW_VERSION, True, 0.25)
    history.record_command(1.7e9 + 11, "evacuation/a3", 1, False, 6.0)
    return history


HISTORY_ROWS = {
    "word": [
        {"at": 1.7e9 + version, "key": "config", "version": version, "bytes": len(config_body(version)), "kept": True}
        for version in (NEW_VERSION, OLD_VERSION)
    ],
    "orders": [
        {"at": 1.7e9 + 11, "key": "evacuation/a3", "version": 1, "acknowledged": False, "took_s": 6.0},
        {"at": 1.7e9 + 10, "key": "config", "version": NEW_VERSION, "acknowledged": True, "took_s": 0.25},
    ],
}


# -- the earlier format ------------------------------------------------------------------------------------

EARLIER_ENTRIES = (
    ("config", OLD_VERSION, "t", config_body(OLD_VERSION)),
    ("evacuation/a1", 2, "t", b"finish"),
    ("evacuation/a3", 1, "t", b"begin"),
)


def write_earlier_file(path: Path, body: bytes) -> None:
    """Write a file of the earlier format, which the present sources only read."""
    path.write_bytes(b"mapleline word 1\n%08x %d\n" % (crc32(body), len(body)) + body)


def write_earlier(folder: Path) -> None:
    """Write a data folder of the earlier format."""
    registers = folder / "word"
    registers.mkdir(parents=True)
    for entry in EARLIER_ENTRIES:
        write_earlier_file(registers / f"r-{entry[0].encode().hex()}", msgspec.msgpack.encode(entry))
    core = {"core": [[ip, zone] for zone, ip in enumerate(ADDRESSES)]}
    write_earlier_file(registers / "core", msgspec.msgpack.encode(core))


# -- golden files ------------------------------------------------------------------------------------------


def read_hex(path: Path) -> dict[str, bytes]:
    """Return the byte strings of a golden file by name; each line has a name and its bytes in hexadecimal."""
    lines = [line.split(" ") for line in path.read_text().splitlines()]
    return {name: bytes.fromhex(data) for name, data in lines}


def write_hex(path: Path, samples: dict[str, bytes]) -> None:
    """Write a golden file in the format of `read_hex`."""
    path.write_text("".join(f"{name} {data.hex()}\n" for name, data in samples.items()))


def files_of(folder: Path) -> dict[str, bytes]:
    """Return the contents of all files below a folder by their relative paths."""
    return {str(path.relative_to(folder)): path.read_bytes() for path in folder.rglob("*") if path.is_file()}


def write_golden_files() -> None:
    """Write all golden files to a `golden/` that contains only the configurations."""
    hex_files: dict[Path, Callable[[], dict[str, bytes]]] = {
        MESSAGES_FILE: encoded_messages,
        STAMPED_FILE: stamped_samples,
        PARTS_FILE: part_samples,
    }
    for path, samples in hex_files.items():
        write_hex(path, samples())
    for name, sample in snapshot_samples().items():
        write_snapshot(SNAPSHOTS / name, sample)
    HISTORY.mkdir()
    write_history(HISTORY)
    write_earlier(EARLIER)
    DUMP_FILE.write_text(data_folder.dump_archive(SNAPSHOTS / "machine_1").ok)
    EARLIER_DUMP_FILE.write_text(data_folder.dump_archive(EARLIER).ok)


if __name__ == "__main__":
    write_golden_files()
