"""Trace requests across processes and export their spans."""

import contextlib
import typing

from opentelemetry import context, trace
from opentelemetry.sdk import resources
from opentelemetry.sdk import trace as sdk_trace
from opentelemetry.sdk.trace import export
from opentelemetry.trace.propagation import tracecontext

from sycamoreferry_router import logs, settings

_log = logs.part_logger('trace')
_propagator = tracecontext.TraceContextTextMapPropagator()
_tracer = trace.get_tracer('sycamoreferry')
_NO_SPAN: contextlib.nullcontext[None] = contextlib.nullcontext()


class LogExporter(export.SpanExporter):
    """Write ended spans to the log."""

    def export(
        self,
        spans: typing.Sequence[sdk_trace.ReadableSpan],
    ) -> export.SpanExportResult:
        """Write one line for each span."""
        for span in spans:
            _log.info('{}', span.to_json(indent=None))
        return export.SpanExportResult.SUCCESS


def set_up_traces(config: settings.Tracing, instance: str) -> None:
    """Export spans as the settings say; do nothing when turned off."""
    if config.export == 'none':
        return
    provider = sdk_trace.TracerProvider(
        resource=resources.Resource({'service.instance.id': instance}),
    )
    provider.add_span_processor(export.SimpleSpanProcessor(LogExporter()))
    trace.set_tracer_provider(provider)


def start_span(
    name: str,
    caller_headers: typing.Mapping[str, str] | None = None,
) -> contextlib.AbstractContextManager[trace.Span | None]:
    """Run a block in a span, as a child of the caller's if it names one."""
    if _is_off():
        return _NO_SPAN
    return _run_in_span(name, caller_headers)


def _is_off() -> bool:
    # Without a provider the library still creates a span and drops it.
    return isinstance(trace.get_tracer_provider(), trace.ProxyTracerProvider)


@contextlib.contextmanager
def _run_in_span(
    name: str,
    caller_headers: typing.Mapping[str, str] | None,
) -> typing.Iterator[trace.Span]:
    token = None
    if caller_headers is not None and 'traceparent' in caller_headers:
        token = context.attach(_propagator.extract(dict(caller_headers)))
    try:
        with _tracer.start_as_current_span(name) as span:
            yield span
    finally:
        if token is not None:
            context.detach(token)


def inject_context(headers: typing.MutableMapping[str, str]) -> None:
    """Write the current span into the headers of an outgoing request."""
    if not _is_off():
        _propagator.inject(headers)
