"""Tests of a checkout in an empty folder: what it holds, and that it can be built and started."""

import subprocess

from .checkout_harness import CheckoutCase, git
from .platform_harness import ROOT

SYMBOLIC_LINK_MODE = "120000"


class FreshCheckoutTests(CheckoutCase):
    def test_a_fresh_checkout_builds_and_starts_the_node(self):
        # Guards against the build's "File exists: .venv", from a build folder or a link in its place in git.
        self.build()
        self.start_node()
        self.assertEqual(self.start_adapter(), 0)

    def test_git_holds_no_links_and_nothing_that_is_ignored(self):
        # Guards against files that only the developer's machine has the targets of.
        links = [line for line in git("ls-files", "-s").splitlines() if line.startswith(SYMBOLIC_LINK_MODE)]
        self.assertEqual(links, [])
        self.assertEqual(git("ls-files", "--cached", "--ignored", "--exclude-standard"), "")

    def test_a_link_in_place_of_the_build_folder_is_ignored_by_git(self):
        # Guards against `git add` of such a link: a pattern that ends with a slash matches folders only.
        for name in (".venv", ".venv-ci"):
            result = subprocess.run(["git", "check-ignore", "--no-index", "-q", name], cwd=ROOT)
            self.assertEqual(result.returncode, 0, name)
