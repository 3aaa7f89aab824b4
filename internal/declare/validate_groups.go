package declare

import (
	"net/netip"
	"slices"

	"github.com/cranberrystage/cranberrystage/internal/config"
)

// minUpstreams is the size of the smallest group that keeps a majority after the
// loss of one server.
const minUpstreams = 3

func (v *validator) groups(f file) {
	for i, g := range f.Groups {
		field := at("groups", i)
		v.members(f, field, g)
		for j, u := range g.Upstreams {
			v.upstream(f, at(field+".upstreams", j), u)
		}
	}
}

func (v *validator) members(f file, field string, g config.Group) {
	if len(g.Upstreams) < minUpstreams {
		v.add(f, field+".upstreams", "%d upstreams; %d are needed so that a majority survives the loss of one",
			len(g.Upstreams), minUpstreams)
	}
	isFirst := func(u config.Upstream) bool { return u.ID == g.FirstPrimary }
	if !slices.ContainsFunc(g.Upstreams, isFirst) {
		v.add(f, field+".firstPrimary", "%q is not an upstream of the group", g.FirstPrimary)
	}
	if len(g.Upstreams) > 0 && !g.KeepsMajority() {
		v.add(f, field+".upstreams", "a majority of the group's upstreams must not be leaving")
	}
}

func (v *validator) upstream(f file, field string, u config.Upstream) {
	if !namePattern.MatchString(string(u.DataCentre)) {
		v.add(f, field+".dataCentre", "want the name of a data centre, have %q", u.DataCentre)
	}
	v.address(f, field+".address", u)
	if u.Slots < 1 {
		v.add(f, field+".slots", "must be at least 1")
	}
	if u.Slots > u.Connections {
		v.add(f, field+".slots", "%d slots need as many connections, but there are %d", u.Slots, u.Connections)
	}
}

func (v *validator) address(f file, field string, u config.Upstream) {
	if _, err := netip.ParseAddrPort(u.Address); err != nil {
		v.add(f, field, "want IP:port, have %q", u.Address)
		return
	}
	if other, ok := v.addresses[u.Address]; ok {
		v.add(f, field, "also the address of upstream %q", other)
		return
	}
	v.addresses[u.Address] = u.ID
}
