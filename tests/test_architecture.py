"""Structure of the package: line length, dependencies between modules, and the example of the README."""

import ast
import re
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
PACKAGE = ROOT / "chutefork"


def test_the_call_controller_keeps_the_line_length_and_refers_to_its_interface():
    lines = (PACKAGE / "call_controller.py").read_text().splitlines()
    assert max(map(len, lines)) <= 110
    assert "interface.py" in ast.get_docstring(ast.parse((PACKAGE / "call_controller.py").read_text()))


def test_adapter_and_interface_import_nothing_but_the_class_from_the_call_controller():
    for name in ("interface.py", "simulator_adapter.py"):
        for node in ast.walk(ast.parse((PACKAGE / name).read_text())):
            if isinstance(node, ast.ImportFrom) and node.module and node.module.endswith("call_controller"):
                assert [alias.name for alias in node.names] == [
                    "CallController"
                ] and name == "simulator_adapter.py"


def test_the_call_controller_imports_only_pure_modules():
    tree = ast.parse((PACKAGE / "call_controller.py").read_text())
    modules = {alias.name for node in ast.walk(tree) if isinstance(node, ast.Import) for alias in node.names}
    modules |= {node.module for node in ast.walk(tree) if isinstance(node, ast.ImportFrom)}
    assert modules <= {"__future__", "math", "random", "collections", "dataclasses", None}


def test_the_core_imports_no_network_or_protocol_module():
    for path in (PACKAGE / "core").glob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            names = (
                [node.module or ""]
                if isinstance(node, ast.ImportFrom)
                else ([alias.name for alias in node.names] if isinstance(node, ast.Import) else [])
            )
            for name in names:
                top = name.split(".")[0]
                assert top not in {
                    "twisted",
                    "json",
                    "sipmessage",
                    "net",
                    "sip",
                    "config",
                    "consul",
                    "consul_membership",
                }, path


def test_the_readme_example_runs():
    blocks = re.findall(r"```python\n(.*?)```", (ROOT / "README.md").read_text(), re.S)
    assert blocks
    for block in blocks:
        exec(compile(block, "README.md", "exec"), {"__name__": "readme"})
