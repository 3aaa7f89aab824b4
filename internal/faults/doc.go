// Package faults proves the promises of the decision core under faults:
// acknowledgement, detection and failover, reads, confirms and their spread,
// drains, and the slots of VMs that vanish. Its tests run the real core of
// several proxies against small fakes of servers, platform and network on a
// virtual clock. Everything follows from a seed.
package faults
