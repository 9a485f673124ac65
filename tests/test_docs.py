"""Documentation: links resolve, named source files exist, and the on-call page covers all log lines."""

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent.parent
PAGES = [*ROOT.glob("*.md"), *ROOT.glob("docs/**/*.md")]
LINK = re.compile(r"\[[^\]]*\]\(([^)#\s]+)(?:#[^)]*)?\)")
SOURCE = re.compile(r"`((?:mapleline|tests|benchmarks|deploy)/[\w./-]*[\w/])`")
#: Pages that describe earlier names and places.
HISTORICAL = {ROOT / "docs" / "design" / "naming.md", ROOT / "CHANGELOG.md"}


def name_of(page):
    return str(page.relative_to(ROOT))


@pytest.mark.parametrize("page", PAGES, ids=name_of)
def test_links_resolve_to_files(page):
    targets = [target for target in LINK.findall(page.read_text()) if "://" not in target]
    missing = [target for target in targets if not (page.parent / target).exists()]
    assert missing == []


@pytest.mark.parametrize("page", [page for page in PAGES if page not in HISTORICAL], ids=name_of)
def test_source_paths_on_a_page_exist(page):
    missing = [path for path in SOURCE.findall(page.read_text()) if not (ROOT / path).exists()]
    assert missing == []


#: Pages whose paths are relative to mapleline/ or mapleline/balancer/.
BELOW_PACKAGE = ("ARCHITECTURE.md", "GLOSSARY.md", "ONCALL.md")
BELOW = re.compile(r"`((?:[a-z0-9_]+/)+[a-z0-9_]*(?:\.py)?|[a-z_]+\.py)`")
DISK_NAMES = {"word/"}


@pytest.mark.parametrize("name", BELOW_PACKAGE)
def test_module_paths_relative_to_the_package_exist(name):
    package = ROOT / "mapleline"
    places = (ROOT, package, package / "balancer")
    paths = BELOW.findall((ROOT / "docs" / name).read_text())
    assert len(paths) > 5
    assert [
        path for path in paths if path not in DISK_NAMES and not any((place / path).exists() for place in places)
    ] == []


BALANCER = ROOT / "mapleline" / "balancer"
LOG_CALL = re.compile(r"logger\.(?:info|warning|error|exception)\(\s*\"([^\"%]+)")


def log_sentences():
    """Yield the log texts of each module in the form of the log, which puts the module's name in front."""
    for path in sorted(BALANCER.rglob("*.py")):
        for sentence in LOG_CALL.findall(path.read_text()):
            yield f"{path.stem}: {sentence.strip()}"


def test_the_on_call_page_explains_every_log_line_of_the_balancer():
    page = (ROOT / "docs" / "ONCALL.md").read_text()
    sentences = list(log_sentences())
    assert len(sentences) > 15
    assert [sentence for sentence in sentences if sentence not in page] == []
