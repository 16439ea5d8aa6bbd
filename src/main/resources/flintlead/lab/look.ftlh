<style>
body{font:14px/1.45 system-ui,sans-serif;color:#222;max-width:1000px;margin:2em auto;padding:0 1em}
h1{font-size:1.4em}h2{font-size:1.1em;margin-top:1.6em}
table{border-collapse:collapse;margin:.6em 0}
th,td{white-space:nowrap;padding:.2em .7em;text-align:right;border-bottom:1px solid #ddd;font-variant-numeric:tabular-nums}
th:first-child,td:first-child{text-align:left}
.wrong{color:#b5443b}.clear{font-weight:600}.key span{display:inline-block;width:1em;height:1em;margin:0 .3em 0 1em;vertical-align:-2px}
svg{max-width:100%;height:auto}
</style>
