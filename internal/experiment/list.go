package experiment

import (
	"time"

	"github.com/cranberrystage/cranberrystage/internal/bench"
	"github.com/pkg/errors"
)

// Upper bounds for the longest time without a successful write.
const (
	killedGoal = 300 * time.Millisecond
	silentGoal = 2 * time.Second
	// killedWithoutPlatformGoal allows 10 % more than with a working platform.
	killedWithoutPlatformGoal = killedGoal * 11 / 10
)

// Lower bounds for the share of reads on replicas under the agency workload.
const (
	agencyWorkload = "agency"
	agedShareGoal  = 0.95
	readShareGoal  = 0.90
)

// All lists every experiment.
var All = []Experiment{
	{Name: "undisturbed", Text: "No fault.", GapGoal: killedGoal, checkResults: checkReplicaShare},
	{Name: "primary-killed", Text: "Primaries get SIGKILL.", GapGoal: killedGoal, fault: killPrimary},
	{Name: "primary-frozen", Text: "Primaries get SIGSTOP and, 6 s later, SIGCONT.", GapGoal: silentGoal, fault: freezePrimary},
	{Name: "primary-isolated", Text: "Primaries answer no connection for 6 s.", GapGoal: silentGoal, fault: isolatePrimary},
	{Name: "primary-slow", Text: "Statements on primaries take 100 ms longer for 6 s.", fault: slowPrimary},
	{Name: "connections-silent", Text: "Open connections to primaries stop answering for good.", fault: silencePrimaryConnections},
	{Name: "replica-stopped", Text: "One replica of each affected group applies nothing for 6 s.", fault: stopReplication},
	{Name: "replicas-late", Text: "All replicas of the affected groups apply records 3 s late for 6 s.", fault: lateReplicas},
	{Name: "proxy-killed", Text: "A proxy with open transactions gets SIGKILL.", fault: killProxy},
	{Name: "proxy-terminated", Text: "A proxy gets SIGTERM.", fault: terminateProxy, checkResults: checkNoneUnknown},
	{Name: "proxy-paused", Text: "A proxy gets SIGSTOP and, 3 s later, SIGCONT.", fault: pauseProxy},
	{Name: "platform-down", Text: "The platform is down for the whole run; primaries get SIGKILL.", GapGoal: killedWithoutPlatformGoal, fault: killPrimaryWithoutPlatform},
	{Name: "platform-slow", Text: "Plans are confirmed while each platform call takes 2 s, and while responses are lost.", fault: slowPlatform},
	{Name: "conflicting-confirms", Text: "Two plans from one base are confirmed at the same moment.", fault: confirmConflicting},
	{Name: "configuration", Text: "Plans are confirmed one after the other.", fault: changeConfiguration},
	{Name: "late-proxy", Text: "A proxy starts while the platform is down.", fault: awaitLateProxy},
	{Name: "drain-replica", Text: "A replica of each affected group leaves.", fault: drainReplica},
	{Name: "overload", Text: "One database is offered 2 and 5 times the throughput of its primary.", runAlone: overload},
	{Name: "drain-primary", Text: "Primaries leave.", GapGoal: silentGoal, fault: drainPrimary},
}

// Find returns the experiment called name.
func Find(name string) (Experiment, error) {
	for _, e := range All {
		if e.Name == name {
			return e, nil
		}
	}
	return Experiment{}, errors.Errorf("there is no experiment %q", name)
}

// Names returns the names of all experiments.
func Names() []string {
	names := make([]string, len(All))
	for i, e := range All {
		names[i] = e.Name
	}
	return names
}

// checkReplicaShare checks the share of reads that replicas served under the
// agency workload.
func checkReplicaShare(r *run, results []*bench.Result) {
	for _, res := range results {
		if res.Workload != agencyWorkload {
			continue
		}
		aged := res.AgedReplicaShare()
		r.check(aged >= agedShareGoal, "agency: aged reads on replicas", "%.1f%%, goal %.0f%%", 100*aged, 100*agedShareGoal)
		r.check(res.ReadReplica >= readShareGoal, "agency: reads on replicas", "%.1f%%, goal %.0f%%", 100*res.ReadReplica, 100*readShareGoal)
	}
}
