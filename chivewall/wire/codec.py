"""Conversion between domain values and protobuf messages."""

from chivewall.results import ResultCode, RunState
from chivewall.wire import chivewall_pb2 as pb
from chivewall.work import (
    Answer,
    Attempt,
    Call,
    Completion,
    End,
    EngineRole,
    Header,
    LoadReport,
    Message,
    Part,
    PartBody,
    Rank,
    Refusal,
    Request,
    Tokens,
    Waiting,
)

MS_PER_SECOND = 1000


def encode_attempt(attempt: Attempt, now: float) -> pb.SubmitRequest:
    """Return the message for an attempt; deadlines are converted to remaining time."""
    req = attempt.request
    message = pb.SubmitRequest(
        request_id=req.id,
        attempt=attempt.number,
        endpoint=attempt.endpoint,
        incarnation=attempt.incarnation,
        workspace=req.workspace,
        rank=req.rank.value,
        remaining_ms=int((req.deadline - now) * MS_PER_SECOND),
        key=req.idempotency_key or "",
        delivered=attempt.delivered,
    )
    if req.first_token_deadline is not None:
        message.first_token_ms = int((req.first_token_deadline - now) * MS_PER_SECOND)
    work = req.work
    if isinstance(work, Completion):
        message.completion.CopyFrom(
            pb.Completion(
                model=work.model,
                messages=[
                    pb.ChatMessage(role=one.role, content=one.content) for one in work.messages
                ],
                prompt_tokens=work.prompt_tokens,
                max_tokens=work.max_tokens,
                prefix_hashes=work.prefix_hashes,
            )
        )
    else:
        message.call.CopyFrom(
            pb.Call(
                service=work.service,
                method=work.method,
                path=work.path,
                headers=_encode_headers(work.headers),
                body=work.body,
                idempotent=work.idempotent,
            )
        )
    return message


def decode_attempt(message: pb.SubmitRequest, now: float) -> Attempt:
    """Return the attempt in a message; raises ``ValueError`` for unknown ranks or work."""
    request = Request(
        id=message.request_id,
        workspace=message.workspace,
        rank=Rank(message.rank),
        deadline=now + message.remaining_ms / MS_PER_SECOND,
        work=_decode_work(message),
        idempotency_key=message.key or None,
        first_token_deadline=(
            now + message.first_token_ms / MS_PER_SECOND
            if message.HasField("first_token_ms")
            else None
        ),
    )
    return Attempt(
        request=request,
        number=message.attempt,
        endpoint=message.endpoint,
        incarnation=message.incarnation,
        delivered=tuple(message.delivered),
    )


def encode_report(report: LoadReport) -> pb.LoadReport:
    """Return the message for a load report."""
    return pb.LoadReport(
        endpoint=report.endpoint,
        incarnation=report.incarnation,
        targets=report.targets,
        role=report.role.value,
        waits=report.waits,
        parallel=report.parallel,
        running=report.running,
        prefill_rate=report.prefill_rate,
        decode_rate=report.decode_rate,
        kv_free_tokens=report.kv_free_tokens,
        cached_prefixes=report.cached_prefixes,
        configuration_version=report.configuration_version,
        ready=report.ready,
        leaving=report.leaving,
        sequence=report.sequence,
    )


def decode_report(message: pb.LoadReport) -> LoadReport:
    """Return the load report in a message."""
    return LoadReport(
        endpoint=message.endpoint,
        incarnation=message.incarnation,
        targets=tuple(message.targets),
        role=EngineRole(message.role),
        waits=tuple(message.waits),
        parallel=message.parallel,
        running=message.running,
        prefill_rate=message.prefill_rate,
        decode_rate=message.decode_rate,
        kv_free_tokens=message.kv_free_tokens,
        cached_prefixes=tuple(message.cached_prefixes),
        configuration_version=message.configuration_version,
        ready=message.ready,
        leaving=message.leaving,
        sequence=message.sequence,
    )


def encode_part(part: Part) -> pb.Part:
    """Return the message for a response part."""
    message = pb.Part(request_id=part.request_id, attempt=part.attempt, seq=part.seq)
    _encode_body(part.body, message)
    if part.report is not None:
        message.report.CopyFrom(encode_report(part.report))
    return message


def decode_part(message: pb.Part) -> Part:
    """Return the response part in a message; raises ``ValueError`` for an unknown body."""
    report = decode_report(message.report) if message.HasField("report") else None
    return Part(
        request_id=message.request_id,
        attempt=message.attempt,
        seq=message.seq,
        body=_decode_body(message),
        report=report,
    )


def _encode_body(body: PartBody, message: pb.Part) -> None:
    if isinstance(body, Waiting):
        message.waiting.SetInParent()
    elif isinstance(body, Tokens):
        message.tokens.CopyFrom(pb.Tokens(index=body.index, texts=body.texts))
    elif isinstance(body, Answer):
        headers = _encode_headers(body.headers)
        message.answer.CopyFrom(pb.Answer(status=body.status, headers=headers, body=body.body))
    elif isinstance(body, End):
        message.end.CopyFrom(
            pb.End(
                finish_reason=body.finish_reason,
                prompt_tokens=body.prompt_tokens,
                completion_tokens=body.completion_tokens,
            )
        )
    else:
        message.refusal.CopyFrom(
            pb.Refusal(
                code=body.code.name,
                message=body.message,
                run=body.run.value,
                retry_after=body.retry_after,
                limit=body.limit or "",
                reason=body.reason or "",
            )
        )


def _decode_body(message: pb.Part) -> PartBody:
    kind = message.WhichOneof("body")
    if kind == "waiting":
        return Waiting()
    if kind == "tokens":
        return Tokens(index=message.tokens.index, texts=tuple(message.tokens.texts))
    if kind == "answer":
        answer = message.answer
        return Answer(
            status=answer.status, headers=_decode_headers(answer.headers), body=answer.body
        )
    if kind == "end":
        end = message.end
        return End(
            finish_reason=end.finish_reason,
            prompt_tokens=end.prompt_tokens,
            completion_tokens=end.completion_tokens,
        )
    if kind == "refusal":
        return _decode_refusal(message.refusal)
    raise ValueError(f"response part of request {message.request_id!r} has no known body")


def _decode_refusal(message: pb.Refusal) -> Refusal:
    if message.code not in ResultCode.__members__:
        raise ValueError(f"unknown result code {message.code!r}")
    return Refusal(
        code=ResultCode[message.code],
        message=message.message,
        run=RunState(message.run),
        retry_after=message.retry_after if message.HasField("retry_after") else None,
        limit=message.limit or None,
        reason=message.reason or None,
    )


def _decode_work(message: pb.SubmitRequest) -> Completion | Call:
    if message.WhichOneof("work") == "completion":
        work = message.completion
        return Completion(
            model=work.model,
            messages=tuple(Message(role=one.role, content=one.content) for one in work.messages),
            prompt_tokens=work.prompt_tokens,
            max_tokens=work.max_tokens,
            prefix_hashes=tuple(work.prefix_hashes),
        )
    if message.WhichOneof("work") == "call":
        work = message.call
        return Call(
            service=work.service,
            method=work.method,
            path=work.path,
            headers=_decode_headers(work.headers),
            body=work.body,
            idempotent=work.idempotent,
        )
    raise ValueError(f"request {message.request_id!r} has neither a completion nor a call")


def _encode_headers(headers: tuple[Header, ...]) -> list[pb.Header]:
    return [pb.Header(name=one.name, value=one.value) for one in headers]


def _decode_headers(headers: list[pb.Header]) -> tuple[Header, ...]:
    return tuple(Header(name=one.name, value=one.value) for one in headers)
