package plan

import (
	"fmt"
	"testing"

	"github.com/cranberrystage/cranberrystage/internal/config"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"gotest.tools/v3/assert"
)

func documentOf(databases int) config.Document {
	service := config.Service{Name: "s", Databases: make(map[string]tables.GroupID)}
	var doc config.Document
	for i := range databases {
		id := tables.GroupID(fmt.Sprintf("g%05d", i))
		g := config.Group{ID: id}
		for u := range 3 {
			up := config.Upstream{ID: tables.UpstreamID(fmt.Sprintf("%s-%d", id, u)), Slots: 3, Connections: 20}
			g.Upstreams = append(g.Upstreams, up)
		}
		g.FirstPrimary = g.Upstreams[0].ID
		doc.Groups = append(doc.Groups, g)
		service.Databases[string(id)] = id
	}
	doc.Services = []config.Service{service}
	return doc
}

func BenchmarkMake(b *testing.B) {
	for _, n := range []int{36, 360, 3600} {
		b.Run(fmt.Sprintf("databases=%d", n), func(b *testing.B) {
			old, new := documentOf(n), documentOf(n)
			new.Groups[n/2].Upstreams[0].Leaving = true
			b.ReportAllocs()
			for b.Loop() {
				_, err := Make(1, old, new, State{})
				assert.NilError(b, err)
			}
		})
	}
}
