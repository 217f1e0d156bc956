"""Parsing of integers that other processes sent."""

# Digits of the largest 64-bit integer. Python refuses to convert thousands of digits.
MAX_DIGITS = 19


def parse_digits(text: str) -> int | None:
    r"""Return the non-negative integer that consists of ASCII digits, or ``None``.

    ``str.isdigit`` also accepts characters that ``int`` doesn't, such as superscripts.

    Example: ``parse_digits("1460") == 1460``, ``parse_digits("\xb2") is None``.
    """
    if len(text) > MAX_DIGITS or not (text.isascii() and text.isdigit()):
        return None
    return int(text)
