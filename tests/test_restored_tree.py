"""Test the settings tree while the platform's store comes back from an older copy."""

import gevent

from fuchsiaspool.addresses import Address
from fuchsiaspool.ids import SubtreePath
from fuchsiaspool.node import Node
from fuchsiaspool.settings.files import write_settings_folder
from fuchsiaspool.settings.objects import SETTINGS_ROOT_KEY, decode_root
from fuchsiaspool.standins.platform import PlatformStandin

from .support import SETTINGS_TEXTS, allocate_address, make_options
from .test_commands import CommandCase

ROOT_PATH = SubtreePath("")
QUOTA_PATH = SubtreePath("agency/quota")
TEAMS = {ROOT_PATH: "platform", QUOTA_PATH: "quota"}
OUTAGE_SECONDS = 0.3
IN_FORCE_SECONDS = 8.0
# Time in which a node would write to the store, if it did.
SETTLING_SECONDS = 2.0


class RestoredTreeTests(CommandCase):
    def setUp(self):
        super().setUp()
        self.store = self.platform.store
        # A way to the same store that only the nodes use.
        self.front = PlatformStandin(Address("127.0.0.1", 0))
        self.front.store = self.store
        self.front.start()
        self.addCleanup(self.front.stop)
        self.texts = dict(SETTINGS_TEXTS)
        self.run_settings("apply", self.folder, "--team", "platform")
        self.nodes = [self.start_node("a")]
        contact = self.nodes[0].options.peers
        self.nodes.append(self.start_node("b", contacts=(contact,)))
        self.await_condition(lambda: self.list_revisions() == {1})

    def start_node(self, name, **fields):
        options = make_options(
            allocate_address(), name, platform=self.front.address, **fields
        )
        node = Node(options)
        self.addCleanup(node.abort)
        node.start()
        return node

    def await_condition(self, condition, seconds=IN_FORCE_SECONDS):
        with gevent.Timeout(seconds, AssertionError("not within the time allowed")):
            while not condition():
                gevent.sleep(0.02)

    def list_revisions(self):
        return {node.settings_replica.revision for node in self.nodes}

    def apply(self, path, old, new, *arguments):
        """Change one subtree as its owner does, from a folder with no other change."""
        self.texts[path] = self.texts[path].replace(old, new)
        folder = self.folder / f"change-{new}".replace(" ", "")
        write_settings_folder(folder, {path: self.texts[path]})
        result = self.run_settings("apply", folder, "--team", TEAMS[path], *arguments)
        self.assertEqual(result[0], 0, result)
        return result

    def apply_everywhere(self, *change):
        self.apply(*change)
        self.await_in_force()

    def await_in_force(self):
        """Wait until all nodes run the texts of all accepted changes."""
        self.await_condition(self.is_in_force)

    def is_in_force(self):
        return all(
            node.settings_replica.snapshot.texts == self.texts for node in self.nodes
        )

    def begin_outage(self):
        self.front.faults.down = True
        gevent.sleep(OUTAGE_SECONDS)

    def end_outage(self):
        self.front.faults.down = False

    def restore(self, copy):
        self.begin_outage()
        self.store.restore(copy)
        self.end_outage()

    def read_root(self):
        return decode_root(self.store.objects[SETTINGS_ROOT_KEY].value)

    def read_stored_texts(self):
        return {
            path: self.store.objects[ref.object].value.decode()
            for path, ref in self.read_root().subtrees.items()
        }

    def test_change_after_a_restore_is_ignored_and_reported_as_in_force(self):
        copy = self.store.take_copy()
        self.apply_everywhere(QUOTA_PATH, "slots = 4", "slots = 5")
        self.begin_outage()
        self.store.restore(copy)
        wait = [x for n in self.nodes for x in ("--wait", n.options.control)]
        gevent.spawn_later(OUTAGE_SECONDS, self.end_outage)
        self.apply(QUOTA_PATH, "slots = 5", "slots = 6", *wait)
        self.assertTrue(self.is_in_force(), "reported as in force, but is not")

    def test_lost_change_stays_lost_in_the_store(self):
        copy = self.store.take_copy()
        self.apply_everywhere(QUOTA_PATH, "slots = 4", "slots = 5")
        self.restore(copy)
        self.await_condition(lambda: self.read_root().revision == 2)
        self.assertEqual(self.read_stored_texts(), self.texts)
        self.assertEqual(self.list_revisions(), {2})
        code, out, _ = self.run_settings("history")
        self.assertEqual(code, 0)
        self.assertEqual(out.splitlines()[0].split()[0], "2", out)

    def test_change_of_another_subtree_reverts_the_lost_one(self):
        copy = self.store.take_copy()
        self.apply_everywhere(QUOTA_PATH, "slots = 4", "slots = 5")
        self.begin_outage()
        self.store.restore(copy)
        self.apply(ROOT_PATH, "retry-percent = 20", "retry-percent = 15")
        self.end_outage()
        self.await_in_force()
        self.assertEqual(self.read_stored_texts(), self.texts)

    def test_later_change_of_a_subtree_loses_to_lost_ones(self):
        copy = self.store.take_copy()
        self.apply_everywhere(QUOTA_PATH, "slots = 4", "slots = 5")
        self.apply_everywhere(QUOTA_PATH, "slots = 5", "slots = 6")
        self.begin_outage()
        self.store.restore(copy)
        self.apply(QUOTA_PATH, "slots = 6", "slots = 7")
        self.end_outage()
        self.await_in_force()
        self.assertEqual(self.read_stored_texts(), self.texts)

    def test_whole_tree_stays_lost(self):
        copy = self.store.take_copy()
        del copy.objects[SETTINGS_ROOT_KEY]
        self.restore(copy)
        self.await_condition(lambda: SETTINGS_ROOT_KEY in self.store.objects)
        self.assertEqual(self.read_stored_texts(), self.texts)
        self.assertEqual(self.read_root().revision, 1)

    def test_restore_that_lost_nothing_of_the_tree_changes_no_object(self):
        self.restore(self.store.take_copy())
        stored = self.store.objects[SETTINGS_ROOT_KEY]
        gevent.sleep(SETTLING_SECONDS)
        self.assertEqual(self.store.objects[SETTINGS_ROOT_KEY], stored)
        self.assertEqual(
            self.front.store.era, self.nodes[0].components.store_era.current
        )
