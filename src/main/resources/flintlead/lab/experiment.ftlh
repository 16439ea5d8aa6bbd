<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>${title}</title>
<#include "look.ftlh"></head><body>
<h1>${title}: simulated</h1>
<p>${seeds} days for each arm, the same seeds in all; differences are by pairs, intervals are 95%: Student's t, and the bootstrap beside it. A row in bold leaves out zero. With many rows some are bold by chance: one in twenty.</p>
<table><tr><th>arm<th>days gone wrong<th>s of CPU</tr>
<#list arms as arm><tr><td>${arm.name}<td<#if arm.wrong?size gt 0> class="wrong"</#if>>${arm.wrong?size}<td>${arm.cpu?string["0.0"]}</tr>
</#list></table>
<#list arms as arm><#if arm.wrong?size gt 0><p class="wrong">${arm.name}: ${arm.wrong[0]}</p></#if></#list>
<#list sections as section>
<h2>${section.name} against ${section.first}</h2>
<table><tr><th>outcome<th>${section.first}<th>${section.name}<th>difference<th>interval (t)<th>bootstrap<th>above<th>below</tr>
<#list section.outcomes as row><tr<#if row.clear> class="clear"</#if>><td>${row.name}<td>${row.first?string["0.0000"]}<td>${row.second?string["0.0000"]}<td>${row.difference?string["+0.0000;-0.0000"]}<td>${row.interval}<td>${row.boot}<td>${row.above}<td>${row.below}</tr>
</#list></table>
</#list>
<#list plots as plot>${plot?no_esc}
</#list>
</body></html>
