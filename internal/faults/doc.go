// Package faults proves the promises of acknowledgement, detection and
// failover under faults. Its tests run the real decision core of several
// proxies against small fakes of servers, platform and network on a virtual
// clock. Everything follows from a seed.
package faults
