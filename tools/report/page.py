"""The HTML page, its sections and tables."""

from html import escape

STYLE = """
body{font:15px/1.5 system-ui,sans-serif;color:#1b1f24;margin:0 auto;
max-width:1140px;padding:24px}
h1{font-size:26px;margin:0}h2{font-size:20px;margin:36px 0 4px;
border-top:2px solid #1f5fa8;padding-top:12px}h3{font-size:16px;margin:22px 0 4px}
p{max-width:76ch}p.note{color:#4a525c}svg{background:#fff;font-family:inherit}
.grid{display:grid;grid-template-columns:repeat(auto-fill,minmax(540px,1fr));
gap:8px 16px}
.legend span{margin-right:18px;white-space:nowrap}
.legend i{display:inline-block;width:12px;height:12px;margin-right:6px}
.legend b.mark{display:inline-block;width:16px;border-top:2px solid #111;
margin:0 6px 4px 0}
table{border-collapse:collapse;font-size:12px;margin:8px 0}
.wide{overflow-x:auto}
th,td{padding:3px 8px;border-bottom:1px solid #e1e4e8;text-align:left}
td.number{text-align:right;font-variant-numeric:tabular-nums}
td.bad{background:#fbe3e0}td.good{background:#e4f2e6}
code{background:#f2f4f6;padding:1px 4px}details{margin:6px 0}
summary{cursor:pointer;color:#1f5fa8}
"""


class Cell:
    """A table cell with a verdict: good, bad or none."""

    def __init__(self, words, verdict=""):
        self.words, self.verdict = words, verdict


def cell(value):
    words = value.words if isinstance(value, Cell) else value
    classes = [value.verdict] if isinstance(value, Cell) else []
    if str(words).lstrip("(-")[:1].isdigit():
        classes.append("number")
    return f'<td class="{" ".join(classes)}">{escape(str(words))}</td>'


def table(head, rows):
    top = "".join(f"<th>{escape(str(name))}</th>" for name in head)
    body = "".join("<tr>" + "".join(cell(value) for value in row) + "</tr>"
                   for row in rows)
    return f'<div class="wide"><table><tr>{top}</tr>{body}</table></div>'


def fold(summary, content):
    return f"<details><summary>{escape(summary)}</summary>{content}</details>"


def section(title, note, content):
    return (f"<h2>{escape(title)}</h2>"
            f'<p class="note">{escape(note)}</p>{content}')


def document(source, sections, missing):
    not_run = ""
    if missing:
        names = escape(", ".join(missing))
        not_run = f'<p class="note">Not run for this page: {names}.</p>'
    return ("<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\">"
            f"<title>caperjunction: measurements</title><style>{STYLE}</style>"
            "</head><body><h1>caperjunction: measurements</h1>"
            f'<p class="note">{escape(source)}</p>{not_run}'
            + "".join(sections) + "</body></html>\n")
