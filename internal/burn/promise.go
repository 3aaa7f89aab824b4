package burn

import (
	"cmp"
	"slices"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/codes"
	"github.com/cranberrystage/cranberrystage/internal/config"
	"github.com/cranberrystage/cranberrystage/internal/declare"
	"github.com/cranberrystage/cranberrystage/internal/metrics"
	"github.com/cranberrystage/cranberrystage/internal/tables"
)

// firstServerCode is the lowest code that counts against availability; lower
// ones, other than OK, are mistakes in the caller's own request.
const firstServerCode = codes.NoPrimary

// Window is the measurement of an objective over one span of time.
type Window struct {
	// Length is the requested span.
	Length config.Duration `json:"length"`
	// Covered is the span that the samples cover, at most Length.
	Covered config.Duration `json:"covered"`
	// Total is the number of requests that the objective covers.
	Total float64 `json:"total"`
	// Bad is the number of these requests that missed it.
	Bad float64 `json:"bad"`
	// Burn is the share of bad requests divided by the share that the objective allows.
	Burn float64 `json:"burn"`
}

// outcome counts the requests that an objective covers and those that missed it.
type outcome struct {
	total, bad float64
}

// burn returns the burn rate: 1 uses up the error budget exactly as fast as the
// objective allows, 2 twice as fast.
func (o outcome) burn(target float64) float64 {
	if o.total == 0 {
		return 0
	}
	return o.bad / o.total / (1 - target)
}

func (inc increase) outcome(service tables.ServiceID, o config.Objective) outcome {
	switch o.Promise {
	case declare.PromiseAvailability:
		return inc.availability(service)
	case declare.PromiseLatency:
		return inc.latency(service, time.Duration(o.Threshold))
	case declare.PromiseAge:
		return inc.age(service)
	default:
		return inc.replicaShare(service)
	}
}

func (inc increase) availability(service tables.ServiceID) outcome {
	covered := func(s series) bool {
		return s.service == service && (s.code == codes.OK || s.code >= firstServerCode)
	}
	bad := func(s series) bool { return covered(s) && s.code != codes.OK }
	return outcome{
		total: inc.sum(metrics.RequestsTotal, covered),
		bad:   inc.sum(metrics.RequestsTotal, bad),
	}
}

// latency counts as good only the requests up to the largest histogram bucket
// bound that doesn't exceed threshold. Requests between that bound and the
// threshold count as bad.
func (inc increase) latency(service tables.ServiceID, threshold time.Duration) outcome {
	of := func(s series) bool { return s.service == service }
	bound := inc.largestBound(service, threshold)
	within := func(s series) bool { return of(s) && s.bound == bound }
	total := inc.sum(metrics.RequestSeconds+suffixCount, of)
	good := 0.0
	if bound > 0 {
		good = inc.sum(metrics.RequestSeconds+suffixBucket, within)
	}
	return outcome{total: total, bad: total - good}
}

func (inc increase) largestBound(service tables.ServiceID, threshold time.Duration) float64 {
	bound := 0.0
	for key := range inc.counters {
		if key.metric != metrics.RequestSeconds+suffixBucket || key.service != service {
			continue
		}
		if key.finite() && key.bound <= threshold.Seconds() {
			bound = max(bound, key.bound)
		}
	}
	return bound
}

func (inc increase) age(service tables.ServiceID) outcome {
	of := func(s series) bool { return s.service == service }
	tooOld := func(s series) bool { return of(s) && !s.within }
	return outcome{
		total: inc.sum(metrics.ReadAgeSeconds+suffixCount, of),
		bad:   inc.sum(metrics.ReadAgeSeconds+suffixCount, tooOld),
	}
}

func (inc increase) replicaShare(service tables.ServiceID) outcome {
	read := func(s series) bool {
		return s.service == service && s.kind == metrics.KindRead && s.code == codes.OK
	}
	notByReplica := func(s series) bool { return read(s) && s.servedBy != metrics.ServedByReplica }
	return outcome{
		total: inc.sum(metrics.RequestsTotal, read),
		bad:   inc.sum(metrics.RequestsTotal, notByReplica),
	}
}

// Cause is a result code other than OK, with the number of its requests.
type Cause struct {
	// Code is the result code.
	Code codes.Code `json:"code"`
	// Name is the name of the code.
	Name string `json:"name"`
	// Text describes the code in one sentence.
	Text string `json:"text"`
	// Count is the number of requests that ended with it.
	Count float64 `json:"count"`
	// CallerError reports whether the code means a wrong request of the caller, which
	// doesn't count against availability.
	CallerError bool `json:"ownMistake"`
}

// causes returns the codes other than OK that occurred, the most frequent first.
func (inc increase) causes(service tables.ServiceID) []Cause {
	var out []Cause
	for _, info := range codes.All {
		if info.Code == codes.OK {
			continue
		}
		n := inc.sum(metrics.RequestsTotal, func(s series) bool { return s.service == service && s.code == info.Code })
		if n > 0 {
			out = append(out, Cause{Code: info.Code, Name: info.Name, Text: info.Text, Count: n, CallerError: info.Code < firstServerCode})
		}
	}
	slices.SortStableFunc(out, func(a, b Cause) int { return cmp.Compare(b.Count, a.Count) })
	return out
}
