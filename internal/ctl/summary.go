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

// unknownLag stands for a lag that no proxy could bound; it is worse than any other.
const unknownLag = time.Duration(-1)

// causeAnswered is the cause that a good probe reports.
var causeAnswered = tables.CauseNone.String()

// groupSummary is what all proxies together say of a group.
type groupSummary struct {
	group tables.GroupID
	// term and primary are those of the highest term that a proxy knows.
	term    tables.Term
	primary tables.UpstreamID
	// proxies know the group; agreeing of them know the same term and primary.
	proxies, agreeing int
	upstreams         []upstreamSummary
	refused           []statusapi.Refused
}

// upstreamSummary is what all proxies together say of one server.
type upstreamSummary struct {
	upstream tables.UpstreamID
	// position is the highest that a proxy saw.
	position tables.Position
	// lag is the worst bound of a proxy, or unknownLag.
	lag time.Duration
	// proxies probe the server; failing holds the causes of those without an answer.
	proxies int
	failing []string
	leaving bool
}

// summarize merges the accounts of all proxies, groups in ascending order.
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

// primaryText names the primary and says if proxies know of another.
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

// probeText says how many proxies have an answer, and the causes of the others.
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

// refusalText describes a refusal's code.
func refusalText(c codes.Code) string {
	in, _ := codes.Lookup(c)
	return fmt.Sprintf("%d %s: %s", c, in.Name, in.Text)
}
