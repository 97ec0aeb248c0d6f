"""Reads the head of an answer from bytes that are passed on unchanged."""

import h11

from baobabmux_node import client


class HeadReader:
    """Reads the head of the first answer on a connection."""

    def __init__(self):
        self._http: h11.Connection | None = client.new_http()
        # h11 reads an answer only after a request.
        fields = [("Host", "endpoint")]
        self._http.send(h11.Request(method="GET", target="/", headers=fields))
        self._http.send(h11.EndOfMessage())

    def add(self, data: bytes) -> client.Head | None:
        """Adds bytes of the answer.

        Returns:
            The head, once its last byte has been added, or None. Bytes that
            are not HTTP have none.
        """
        if self._http is None:
            return None
        try:
            self._http.receive_data(data)
            event = self._http.next_event()
            while isinstance(event, h11.InformationalResponse):
                event = self._http.next_event()
        except h11.RemoteProtocolError:
            self._http = None
            return None
        if event is h11.NEED_DATA:
            return None
        self._http = None
        if not isinstance(event, h11.Response):
            return None
        return client.convert_head(event)
