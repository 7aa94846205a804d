"""Clients' connections: commands in, answers out, in the order of the commands.

Owns each connection's answers that are still owed. Must never answer an RPC twice, keep an answer that a
client does not read, or speak to a cache: what an RPC becomes is the proxy's to say.
"""

import asyncio
from collections import OrderedDict, deque
from collections.abc import Callable
from typing import Any

from calicofall.net import resp
from calicofall.net.stream import Stream
from calicofall.words import ARGUMENTS

PIPELINED = 16  # commands read ahead of their answers
AHEAD = 32 << 20  # bytes of commands in hand from which none is read ahead
LINGER = 1.0  # s in which a client may read why its connection ends


class Turn:
    """An answer's place in its connection's order."""

    __slots__ = ("client", "answer", "call", "weight")

    def __init__(self, client: "Client", weight: int) -> None:
        self.client, self.weight = client, weight
        self.answer: bytes | None = None
        self.call: Any = None  # what the proxy makes of it

    def give(self, answer: bytes) -> None:
        self.answer = answer
        self.client.pass_on()


class Client(Stream):
    def __init__(self, clients: "Clients") -> None:
        super().__init__()
        self.clients = clients
        self.parser = resp.Parser(self.inward)
        self.turns: deque[Turn] = deque()
        self.held = self.deaf = False  # reading is paused; framing is lost
        self.patience: asyncio.TimerHandle | None = None

    def opened(self) -> None:
        self.clients.admit(self)

    def came(self) -> None:
        while not (self.deaf or self.closing or self.closed):
            if self._full():
                break
            try:
                command = self.parser.next()
            except resp.Broken as reason:
                self.deaf = True
                self._turn(0).give(resp.fault(f"ERR {reason}"))
                break
            if command is resp.COMING:
                break
            self._take(command)
        if self.deaf:
            self.inward.drop(len(self.inward))
        hold = not self.deaf and self._full()
        if hold != self.held and not (self.closed or self.closing):
            self.held = hold
            self.transport.pause_reading() if hold else self.transport.resume_reading()

    def _full(self) -> bool:
        """Whether nothing more is read from it now: guards against clients that send and do not read."""
        return self.stuck or len(self.turns) >= (PIPELINED if self.clients.weight < AHEAD else 1)

    def _turn(self, weight: int) -> Turn:
        turn = Turn(self, weight)
        self.turns.append(turn)
        self.clients.weight += weight
        self.clients.busy(self)
        return turn

    def _take(self, command: object) -> None:
        if not isinstance(command, list) or not command or \
                not all(type(part) is bytes for part in command):
            self._turn(0).give(resp.fault("ERR a command is an array of bulk strings"))
            return
        turn = self._turn(sum(map(len, command)))
        name = command[0].upper()
        if name in ARGUMENTS:
            self.clients.ask(turn, [name, *command[1:]])
        elif name == b"PING" and len(command) <= 2:
            turn.give(resp.bulk(command[1]) if len(command) == 2 else resp.word("PONG"))
        elif name == b"PING":
            turn.give(resp.fault("ERR wrong number of arguments"))
        elif name == b"QUIT":
            self.deaf = True
            turn.give(resp.word("OK"))
        else:
            turn.give(resp.fault("ERR unknown command"))

    def pass_on(self) -> None:
        """Answers whose turn has come go out."""
        while self.turns and self.turns[0].answer is not None and not self.stuck:
            turn = self.turns.popleft()
            self.clients.weight -= turn.weight
            self.write(turn.answer)
        if not self.turns and not self.closed:
            if self.deaf:
                self.part()
            elif not self.clients.leaving:
                self.clients.idle(self)
            elif not len(self.inward):  # what has come is taken, and still answered
                self.close()
        if self.held:
            self.clients.loop.call_soon(self.came)

    def part(self) -> None:
        """The last answer is out. Guards against a close that resets it away: unread input does that."""
        if self.patience is None and not len(self.outward):
            self.transport.write_eof()
            self.patience = self.clients.loop.call_later(LINGER, self.cut)

    def pause_writing(self) -> None:
        super().pause_writing()
        # Guards against clients that do not read: the answer has failed, and the cut tells so.
        self.patience = self.clients.loop.call_later(self.clients.stall, self.cut)

    def resume_writing(self) -> None:
        if self.patience is not None:
            self.patience.cancel()
            self.patience = None
        super().resume_writing()
        self.pass_on()

    def lost(self) -> None:
        if self.patience is not None:
            self.patience.cancel()
        self.clients.gone(self)
        turns, self.turns = self.turns, deque()
        for turn in turns:
            self.clients.weight -= turn.weight
            if turn.answer is None:
                self.clients.leave(turn)


class Clients:
    """All connections of clients, the longest idle first."""

    def __init__(self, loop: asyncio.AbstractEventLoop, most: int, stall: float, ask: Callable,
                 leave: Callable) -> None:
        self.loop, self.most, self.stall, self.ask, self.leave = loop, max(1, most), stall, ask, leave
        self.open: set[Client] = set()
        self.resting: OrderedDict[Client, None] = OrderedDict()
        self.leaving, self.weight = False, 0

    def admit(self, client: Client) -> None:
        self.open.add(client)
        if len(self.open) > self.most:
            # Guards against running out of descriptors: one between RPCs may go, else the new one.
            next(iter(self.resting), client).cut()
        if not client.closed:
            self.resting[client] = None

    def busy(self, client: Client) -> None:
        self.resting.pop(client, None)

    def idle(self, client: Client) -> None:
        self.resting[client] = None
        self.resting.move_to_end(client)

    def gone(self, client: Client) -> None:
        self.open.discard(client)
        self.resting.pop(client, None)

    def part(self) -> None:
        """Close each connection as soon as it owes no answer."""
        self.leaving = True
        for client in list(self.resting):
            client.close()
