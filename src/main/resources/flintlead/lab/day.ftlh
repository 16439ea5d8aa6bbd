<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>${plan.name}, seed ${seed}</title>
<#include "look.ftlh"></head><body>
<h1>Day ${plan.name}, seed ${seed}: simulated</h1>
<p>${plan.gateways} gateways, ${plan.hosts} hosts, ${plan.perSecond?string["0.#"]} invocations a second for ${plan.seconds?string["0.#"]} s; decided by ${plan.policy}. ${events?string.computer} events, sum ${sum}.</p>
<#if wrong != ""><p class="wrong">Wrong: ${wrong}</p><#else><p>All five rules held, nothing was left over.</p></#if>
<p>Billed value answered in time: <b>${value?string["0.0000"]}</b>; ${dispatches?string.computer} dispatches, ${loads?string.computer} loads; ${wasted?string["0.0%"]} of the work made no client's answer.<#if leftOut gt 0> ${leftOut?string.computer} invocations found no place in this record.</#if></p>
<table><tr><th>trigger type<th>asked<th>in time<th>late<th>throttled<th>errored<th>lost<th>p50 ms<th>p99 ms</tr>
<#list types as type><tr><td>${type.name}<td>${type.asked?string.computer}<td>${type.inTime?string.computer}<td>${type.late?string.computer}<td>${type.throttled?string.computer}<td>${type.errored?string.computer}<td>${type.lost?string.computer}<td>${type.p50?string.computer}<td>${type.p99?string.computer}</tr>
</#list></table>
<#list breaches as breach><p class="wrong">${breach}</p></#list>
<#list plots as plot>
<#if plot?index == 2><p class="key">Hosts:<span style="background:#222"></span>down<span style="background:#9a6fb0"></span>drains<span style="background:#9cc3e6"></span>cold, nothing waits<span style="background:#f4f1ea"></span>nothing waits<span style="background:#f9e2b5"></span>1<span style="background:#f3bf7a"></span>3<span style="background:#e58f4c"></span>6<span style="background:#cf5c36"></span>11<span style="background:#a32d2d"></span>21<span style="background:#5f1220"></span>41 or more</p></#if>
${plot?no_esc}
</#list>
</body></html>
