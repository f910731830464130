/** Style sheet of all pages. */

export const styleSheet = `
:root { color-scheme: light dark; --accent: #8c1d40; --on-accent: #fff; --line: #8886; --soft: #8881; --bad: #b3261e; --warn: #8a5a00; }
@media (prefers-color-scheme: dark) { :root { --accent: #f2a0b8; --on-accent: #2b0a15; --bad: #ff9c94; --warn: #ffc66d; } }
* { box-sizing: border-box; }
body { margin: 0; font: 1rem/1.5 system-ui, sans-serif; }
header { border-bottom: 1px solid var(--line); padding: .75rem 1.5rem 0; background: var(--soft); }
header p { margin: 0; }
.brand { font-weight: 700; color: var(--accent); padding-bottom: .25rem; }
.summary { padding-bottom: .75rem; }
nav ul { display: flex; flex-wrap: wrap; gap: .25rem; list-style: none; margin: 0; padding: 0; }
nav li { display: flex; align-items: center; border-bottom: 3px solid transparent; }
nav li.current { border-color: var(--accent); }
nav li.current button { font-weight: 700; }
nav button { border: 0; background: none; color: inherit; padding: .5rem .6rem; }
main { max-width: 64rem; margin: 0 auto; padding: 1rem 1.5rem 4rem; }
h1 { font-size: 1.6rem; line-height: 1.2; margin: 1rem 0; overflow-wrap: anywhere; }
h2 { font-size: 1.2rem; margin: 2rem 0 .5rem; }
button, input, select, textarea { font: inherit; }
button { border: 1px solid var(--line); border-radius: .3rem; padding: .35rem .8rem; background: none; color: inherit; cursor: pointer; }
button:hover { background: var(--soft); }
button.primary { background: var(--accent); border-color: var(--accent); color: var(--on-accent); }
button.danger { color: var(--bad); }
:focus-visible { outline: 3px solid var(--accent); outline-offset: 2px; }
input, select, textarea { padding: .35rem .5rem; border: 1px solid var(--line); border-radius: .3rem; background: transparent; color: inherit; max-width: 100%; }
input[type=text], select { width: 22rem; }
input.number { width: 11rem; }
option { background: Canvas; color: CanvasText; }
textarea { width: 100%; font-family: ui-monospace, monospace; font-size: .9rem; }
.fields { display: grid; gap: 1rem; margin: 1rem 0; }
.field { display: grid; grid-template-columns: 18rem 1fr; gap: .25rem 1rem; align-items: start; }
.field > label { padding-top: .35rem; font-weight: 600; }
.field.wrong input, .field.wrong select, .field.wrong textarea { border: 2px solid var(--bad); }
.help { margin: .2rem 0 0; font-size: .9rem; opacity: .8; }
.mistakes { margin: .3rem 0; padding-left: 1.2rem; color: var(--bad); font-weight: 400; }
.warnings li { color: var(--warn); }
li { margin: .2rem 0; overflow-wrap: anywhere; }
.scroll { overflow-x: auto; }
table { border-collapse: collapse; width: 100%; }
th, td { text-align: left; padding: .45rem .6rem; border-bottom: 1px solid var(--line); vertical-align: top; }
thead th { font-size: .85rem; }
tr.wrong { background: color-mix(in srgb, var(--bad) 10%, transparent); }
th button { font-weight: 600; white-space: nowrap; }
.actions { text-align: right; white-space: nowrap; }
.bar { display: flex; flex-wrap: wrap; gap: .5rem; align-items: center; }
.tag, .badge { font-size: .8rem; font-weight: 600; border-radius: 1rem; padding: .05rem .5rem; }
.tag { border: 1px solid var(--accent); color: var(--accent); }
.badge { background: var(--bad); color: Canvas; margin-right: .4rem; }
.notice { border: 1px solid var(--line); border-left: .4rem solid var(--warn); border-radius: .3rem; padding: .25rem 1rem; margin: 1rem 0; }
.notice.strong { border-left-color: var(--bad); }
.box { border: 1px solid var(--line); border-radius: .4rem; padding: 0 1.2rem .5rem; margin: 1.5rem 0; }
.empty { opacity: .8; font-style: italic; }
.check { display: inline-flex; gap: .5rem; align-items: center; }
code { overflow-wrap: anywhere; }
.skip, .default, .hidden { position: absolute; width: 1px; height: 1px; overflow: hidden; clip-path: inset(50%); white-space: nowrap; }
.skip:focus { position: static; width: auto; height: auto; clip-path: none; }
@media (max-width: 45rem) { .field { grid-template-columns: 1fr; } input[type=text], select { width: 100%; } }
`;
