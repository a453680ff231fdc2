import ast
import importlib.util
import itertools
import pathlib
import subprocess
import sys

from behave import then

ROOT = pathlib.Path(__file__).resolve().parents[2]
BANNED = {
    "asyncio",
    "io",
    "multiprocessing",
    "os",
    "pathlib",
    "pynng",
    "selectors",
    "shutil",
    "socket",
    "subprocess",
    "threading",
    "time",
    "tornado",
    "yaml",
}
STORE_CALLS = {"list", "watch", "create", "replace", "delete"}
# The Google style allows importing names from these modules.
EXEMPT = {"typing", "collections.abc", "collections"}


def imports(path):
    """Yields (module, name) of each import; name is None for a plain one."""
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            yield from ((alias.name, None) for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            yield from ((node.module, alias.name) for alias in node.names)


def path_of(module):
    path = ROOT / (module.replace(".", "/") + ".py")
    return path if path.exists() else None


@then("no module that crocusmux.core imports, directly or not, does I/O")
def check_core_without_io(context):
    paths = sorted((ROOT / "crocusmux" / "core").rglob("*.py"))
    assert len(paths) > 45
    visited, violations = set(paths), []
    while paths:
        path = paths.pop()
        for module, name in imports(path):
            if module.partition(".")[0] in BANNED:
                violations.append(f"{path.name}: {module}")
            target = path_of(f"{module}.{name}" if name else module)
            if target is not None and target not in visited:
                visited.add(target)
                paths.append(target)
    assert not violations, violations


@then("every import of the package names a module")
def check_modules_imported(context):
    violations = []
    paths = (ROOT / "crocusmux").rglob("*.py"), (ROOT / "soak").rglob("*.py")
    for path in sorted(itertools.chain(*paths)):
        for module, name in imports(path):
            if name is None or module in EXEMPT:
                continue
            try:
                spec = importlib.util.find_spec(f"{module}.{name}")
            except ModuleNotFoundError:
                spec = None
            if spec is None:
                violations.append(f"{path.relative_to(ROOT)}: {module}.{name}")
    assert not violations, violations


@then("the forwarding daemons import no {library}")
def check_not_imported(context, library):
    text = (
        "import sys\n"
        "from crocusmux.daemons import forward_agent, forward_balancer\n"
        f"sys.exit({library!r} in sys.modules)\n"
    )
    done = subprocess.run([sys.executable, "-c", text], cwd=ROOT, check=False)
    assert done.returncode == 0


def store_calls(path):
    """Yields (module.function, call) of each call to the store in a module."""
    for function in ast.walk(ast.parse(path.read_text())):
        if not isinstance(function, (ast.FunctionDef, ast.AsyncFunctionDef)):
            continue
        for node in ast.walk(function):
            if (
                isinstance(node, ast.Call)
                and isinstance(node.func, ast.Attribute)
                and node.func.attr in STORE_CALLS
                and ast.unparse(node.func.value).endswith("store")
            ):
                yield f"{path.stem}.{function.name}", node.func.attr


@then("the calls to the store by the forwarding daemons are those of the page")
def check_store_calls(context):
    paths = (ROOT / "crocusmux" / "daemons").glob("*.py")
    made = {call for path in paths for call in store_calls(path)}
    text = (ROOT / "docs" / "design" / "overload.md").read_text()
    _, _, section = text.partition("## Calls to the store\n")
    listed = set()
    for line in section.splitlines():
        cells = [cell.strip() for cell in line.strip("|").split("|")]
        if cells[0].startswith("`"):
            assert len(cells) == 6 and all(cells), line
            listed.add((cells[0].strip("`"), cells[1].partition(",")[0]))
    assert made == listed, made ^ listed
