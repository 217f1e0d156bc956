"""Registration of HTTP routes."""

from testtools import TestCase
from testtools.matchers import Contains

from bench.site import Site
from chivewall.errors import PluginError
from chivewall.plugins.builtin.http_api import HttpApi


class RouteTest(TestCase):
    """Handlers are registered under unique names."""

    def test_handler_names_are_unique(self):
        """Guards against a second handler that silently replaces one of the same name."""
        api = HttpApi(Site().add_entry("entry-1", "Mombasa").env, max_body_bytes=1)

        class Front:
            def show_page(self, http):
                return b""

        first, second = Front(), Front()
        api.route("/a", methods=["GET"])(first.show_page)
        api.route("/b", methods=["GET"])(first.show_page)  # one handler on two paths
        error = self.assertRaises(PluginError, api.route("/c"), second.show_page)
        self.assertThat(str(error), Contains("'show_page'"))
