"""Records of the inputs and decisions of a proxy's router, their replay, and queries over them.

A record is a series of segment files, each of which can be replayed without the others. `frames` defines the
byte format and `events` the event types. `recording_router` emits the events and `segment_writer` divides
them into segments. `state_codec` and `state_schema` store the router's state at the start of a segment.
`replayer` replays a record on a router, and `record_queries` searches and summarizes records.

Invariants: recording changes no decision, does not block the event loop, and stores no cached value that a
client sent or received.
"""
