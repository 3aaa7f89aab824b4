package configure_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/config"
	"github.com/cranberrystage/cranberrystage/internal/systems/systemstest"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"gotest.tools/v3/assert"
)

// slowLink is half of 10 Mbit/s, in bytes per second: callers use the other half.
const slowLink = 625_000

// confirmLarge stores a document of as many groups as the users plan for.
func confirmLarge(t *testing.T, c *systemstest.Cluster) {
	t.Helper()
	c.Head = config.Head{Version: c.Head.Version + 1, Hash: fmt.Sprint(c.Head.Version + 1)}
	c.Document = config.Document{}
	for i := range 3600 {
		c.Document.Groups = append(c.Document.Groups, config.Group{
			ID: tables.GroupID(fmt.Sprintf("group-%04d-%s", i, c.Head.Hash)),
			Upstreams: []config.Upstream{
				{ID: "u1", Address: "10.1.0.1:5432", Slots: 3, Connections: 20},
				{ID: "u2", Address: "10.2.0.1:5432", Slots: 3, Connections: 20},
				{ID: "u3", Address: "10.3.0.1:5432", Slots: 3, Connections: 20},
			},
		})
	}
	body, err := json.Marshal(c.Document)
	assert.NilError(t, err)
	c.DocumentSize = len(body)
}

func TestLargeDocumentReachesRestartedVMOnSlowLinkInTime(t *testing.T) {
	for seed := range uint64(5) {
		c := newCluster(seed, 30, 3)
		confirmLarge(t, c)
		c.Run(10 * time.Second)
		slow := c.VMs[29]
		slow.Bandwidth = slowLink
		c.Stop(slow)
		c.Run(2 * time.Second)
		before := slow.BytesReceived()
		c.Start(slow)
		took := c.RunUntil(time.Minute, inForce(c))
		assert.Check(t, took <= spreadLimit, "seed %d: in force after %v", seed, took)
		c.Run(10 * time.Second)
		copies := float64(slow.BytesReceived()-before) / float64(c.DocumentSize)
		t.Logf("seed %d: in force after %v, received %.1f documents of %d bytes", seed, took, copies, c.DocumentSize)
	}
}
