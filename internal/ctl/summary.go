package ctl

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/codes"
	"github.com/cranberrystage/cranberrystage/internal/statusapi"
	"github.com/cranberrystage/cranberrystage/internal/tables"
)

// unknownLag is the lag of a server for which some proxy has no bound. It counts
// as worse than any known lag.
const unknownLag = time.Duration(-1)

// causeAnswered is the cause that a successful probe reports.
var causeAnswered = tables.CauseNone.String()

// groupSummary merges the reports of all proxies about a group.
type groupSummary struct {
	group tables.GroupID
	// term and primary are those of the highest term that a proxy reports.
	term    tables.Term
	primary tables.UpstreamID
	// proxies is the number of proxies that report the group, and agreeing the
	// number of those that report this term and primary.
	proxies, agreeing int
	upstreams         []upstreamSummary
	refused           []statusapi.Refused
}

// upstreamSummary merges the reports of all proxies about one server.
type upstreamSummary struct {
	upstream tables.UpstreamID
	// position is the highest position that a proxy reports.
	position tables.Position
	// lag is the largest lag bound of all proxies, or unknownLag.
	lag time.Duration
	// proxies is the number of proxies that probe the server; failing holds the
	// causes reported by those whose last probe failed.
	proxies int
	failing []string
	leaving bool
}

// summarize merges the statuses of all proxies into summaries of their groups, in
// ascending order of group.
func summarize(all []statusapi.Status) []groupSummary {
	var out []groupSummary
	for _, s := range all {
		for _, g := range s.Groups {
			out = addGroup(out, g)
		}
	}
	slices.SortFunc(out, func(a, b groupSummary) int { return strings.Compare(string(a.group), string(b.group)) })
	return out
}

func addGroup(out []groupSummary, g statusapi.Group) []groupSummary {
	i := slices.IndexFunc(out, func(s groupSummary) bool { return s.group == g.Group })
	if i < 0 {
		i = len(out)
		out = append(out, groupSummary{group: g.Group})
	}
	out[i].add(g)
	return out
}

func (s *groupSummary) add(g statusapi.Group) {
	s.proxies++
	switch {
	case g.Term > s.term || s.proxies == 1:
		s.term, s.primary, s.agreeing = g.Term, g.Primary, 1
	case g.Term == s.term && g.Primary == s.primary:
		s.agreeing++
	}
	for _, u := range g.Upstreams {
		s.addUpstream(u)
	}
	for _, r := range g.Refused {
		s.addRefused(r)
	}
}

func (s *groupSummary) addUpstream(u statusapi.Upstream) {
	i := slices.IndexFunc(s.upstreams, func(o upstreamSummary) bool { return o.upstream == u.Upstream })
	if i < 0 {
		i = len(s.upstreams)
		s.upstreams = append(s.upstreams, upstreamSummary{upstream: u.Upstream})
	}
	s.upstreams[i].add(u)
}

func (s *upstreamSummary) add(u statusapi.Upstream) {
	s.proxies++
	s.leaving = s.leaving || u.Leaving
	if u.Position.AtLeast(s.position) {
		s.position = u.Position
	}
	if u.LagMillis < 0 {
		s.lag = unknownLag
	} else if s.lag != unknownLag {
		s.lag = max(s.lag, time.Duration(u.LagMillis)*time.Millisecond)
	}
	if u.Cause != causeAnswered {
		s.failing = append(s.failing, u.Cause)
	}
}

func (s *groupSummary) addRefused(r statusapi.Refused) {
	i := slices.IndexFunc(s.refused, func(o statusapi.Refused) bool { return o.Code == r.Code })
	if i < 0 {
		s.refused = append(s.refused, r)
		return
	}
	s.refused[i].Count += r.Count
}

// primaryText names the primary, and adds how many proxies report it unless all do.
func (s groupSummary) primaryText() string {
	name := string(s.primary)
	if name == "" {
		name = "unknown"
	}
	if s.agreeing < s.proxies {
		name += fmt.Sprintf(" (%d of %d proxies)", s.agreeing, s.proxies)
	}
	return name
}

func (s upstreamSummary) lagText() string {
	if s.lag == unknownLag {
		return "unknown"
	}
	return s.lag.String()
}

// probeText says for how many proxies the last probe succeeded, and gives the
// causes of the others.
func (s upstreamSummary) probeText() string {
	text := fmt.Sprintf("%d of %d answered", s.proxies-len(s.failing), s.proxies)
	if len(s.failing) > 0 {
		causes := slices.Compact(slices.Sorted(slices.Values(s.failing)))
		text += " (" + strings.Join(causes, ", ") + ")"
	}
	if s.leaving {
		text += ", leaving"
	}
	return text
}

// refusalText describes the code of refused requests.
func refusalText(c codes.Code) string {
	in, _ := codes.Lookup(c)
	return fmt.Sprintf("%d %s: %s", c, in.Name, in.Text)
}
