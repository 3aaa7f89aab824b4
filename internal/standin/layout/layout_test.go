package layout

import (
	"path/filepath"
	"testing"

	"github.com/cranberrystage/cranberrystage/internal/declare"
	"github.com/cranberrystage/cranberrystage/internal/settings"
	"github.com/cranberrystage/cranberrystage/internal/standin/run"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"gotest.tools/v3/assert"
)

func TestWrittenFilesLoad(t *testing.T) {
	root := filepath.Join("..", "..", "..", "deploy")
	doc, err := declare.Load(filepath.Join(root, "batbayar"), filepath.Join(root, "agency"))
	assert.NilError(t, err)
	dir := t.TempDir()
	o := Options{Directory: dir, DataCentres: []tables.DataCentreID{"ub-east", "tunis"}, LogLevel: "INFO"}
	assert.NilError(t, Write(doc, o))

	p, err := settings.Load(filepath.Join(dir, "proxy-2.jsonc"))
	assert.NilError(t, err)
	assert.Equal(t, p.DataCentre, tables.DataCentreID("tunis"))
	pl, err := run.Load(filepath.Join(dir, "platform.jsonc"))
	assert.NilError(t, err)
	assert.Equal(t, len(pl.VMs), 2)
	servers, err := filepath.Glob(filepath.Join(dir, "server-*.jsonc"))
	assert.NilError(t, err)
	assert.Equal(t, len(servers), 18)
	s, err := run.Load(servers[0])
	assert.NilError(t, err)
	assert.Equal(t, s.Servers[0].Connections, 30)
}

func TestPortOffsetShiftsEveryPort(t *testing.T) {
	root := filepath.Join("..", "..", "..", "deploy")
	doc, err := declare.Load(filepath.Join(root, "batbayar"))
	assert.NilError(t, err)
	dir := t.TempDir()
	o := Options{Directory: dir, DataCentres: []tables.DataCentreID{"ub-east", "ub-west"}, LogLevel: "INFO", PortOffset: 20000}
	assert.NilError(t, Write(doc, o))

	p, err := settings.Load(filepath.Join(dir, "proxy-2.jsonc"))
	assert.NilError(t, err)
	assert.Equal(t, p.Callers.Addresses[0], "127.0.0.1:26433")
	assert.Equal(t, p.SeedPeers[0], "127.0.0.1:26532")
	assert.Equal(t, p.Platform.URL, "http://127.0.0.1:27001")
	s, err := run.Load(filepath.Join(dir, "server-stock1-b.jsonc"))
	assert.NilError(t, err)
	assert.Equal(t, s.Control, "127.0.0.1:28112")
	assert.Equal(t, s.Servers[0].Listen, "127.0.0.1:27112")
	assert.Equal(t, s.Servers[0].PrimaryAddress, "127.0.0.1:27111")
	shifted, err := declare.Load(filepath.Join(dir, "declarations"))
	assert.NilError(t, err)
	assert.Equal(t, shifted.Groups[0].Upstreams[0].Address, "127.0.0.1:27111")
	assert.Equal(t, doc.Groups[0].Upstreams[0].Address, "127.0.0.1:7111")
}
