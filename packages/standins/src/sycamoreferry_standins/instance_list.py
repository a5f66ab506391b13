"""Stand in for the platform's list of live and leaving instances."""

import asyncio

import msgspec
from sanic import request as sanic_request
from sanic import response

from sycamoreferry_core import clock, ids
from sycamoreferry_ports import wire
from sycamoreferry_standins import web


class ListFaults(msgspec.Struct, frozen=True):
    """Set how late the list is, and whom it leaves out or makes up."""

    lag_ms: int = 0
    omit: tuple[ids.ServerId, ...] = ()
    invent: tuple[wire.ListedServer, ...] = ()


class InstanceListService:
    """Serve the list over HTTP, with faults on demand."""

    def __init__(self) -> None:
        self._servers: dict[ids.ServerId, wire.ListedServer] = {}
        self._faults = ListFaults()

    def add_routes(self, app: web.App) -> None:
        """Add the list's routes to an application."""
        app.add_route(self._show, '/instances')
        app.add_route(self._put, '/instances', methods=('POST',))
        app.add_route(
            self._remove,
            '/instances/<server:str>',
            methods=('DELETE',),
        )
        app.add_route(
            self._set_faults,
            '/list/faults',
            methods=('POST',),
            name='list_faults',
        )

    async def _show(
        self,
        request: sanic_request.Request,
    ) -> response.HTTPResponse:
        listed = tuple(
            entry
            for entry in self._servers.values()
            if entry.server not in self._faults.omit
        )
        return web.json_answer(
            wire.InstanceList((*listed, *self._faults.invent)),
        )

    async def _put(
        self,
        request: sanic_request.Request,
    ) -> response.HTTPResponse:
        entries = msgspec.json.decode(request.body, type=wire.InstanceList)
        await asyncio.sleep(clock.seconds(self._faults.lag_ms))
        for entry in entries.servers:
            self._servers[entry.server] = entry
        return web.json_answer(entries)

    async def _remove(
        self,
        request: sanic_request.Request,
        server: str,
    ) -> response.HTTPResponse:
        await asyncio.sleep(clock.seconds(self._faults.lag_ms))
        self._servers.pop(ids.ServerId(server), None)
        return response.empty()

    async def _set_faults(
        self,
        request: sanic_request.Request,
    ) -> response.HTTPResponse:
        self._faults = msgspec.json.decode(request.body, type=ListFaults)
        return web.json_answer(self._faults)
