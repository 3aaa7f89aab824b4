// Package faults tests the guarantees of the decision core under injected
// faults: acknowledgement of writes, failure detection and failover, reads,
// confirms of plans and the distribution of accepted versions, drains, and the
// sessions of stopped VMs. The tests run the real core of several proxies against
// fakes of the servers, the platform and the network on a virtual clock. Each run
// is determined by its seed.
package faults
