"""Formats log records as key=value pairs: time, level, event, and the fields of the event."""

import logging
import sys

RECORD_ATTRIBUTES = frozenset(vars(logging.makeLogRecord({}))) | {"message", "asctime"}
CHARACTERS_TO_QUOTE = ' "=\n'


class KeyValueFormatter(logging.Formatter):
    """Formats a record as `at=... level=... event=...` followed by the fields given as `extra`."""

    def format(self, record: logging.LogRecord) -> str:
        """Formats one record; fields whose value is None are omitted."""
        pairs: dict[str, object] = {
            "at": f"{record.created:.3f}",
            "level": record.levelname.lower(),
            "event": record.getMessage(),
        }
        for name, value in vars(record).items():
            if name not in RECORD_ATTRIBUTES and value is not None:
                pairs[name] = value
        if record.exc_info:
            pairs["trace"] = self.formatException(record.exc_info)
        return " ".join(f"{name}={quote_value(value)}" for name, value in pairs.items())


def quote_value(value: object) -> str:
    """Returns the value as text, in double quotes where an unquoted value would be ambiguous."""
    text = str(value)
    if text and not any(character in text for character in CHARACTERS_TO_QUOTE):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
    return f'"{escaped}"'


def configure_logging(level: str = "INFO") -> None:
    """Writes the program's log records of at least `level` to standard error."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(KeyValueFormatter())
    program_logger = logging.getLogger("calicofall")
    program_logger.handlers = [handler]
    program_logger.propagate = False
    program_logger.setLevel(level)
