package burn

import (
	"bytes"
	"encoding/xml"
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/codes"
	"github.com/cranberrystage/cranberrystage/internal/config"
	"github.com/cranberrystage/cranberrystage/internal/metrics"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/common/expfmt"
	"gotest.tools/v3/assert"
)

var start = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

// proxy holds the metrics of one proxy process.
type proxy struct {
	name string
	reg  *prometheus.Registry
	*metrics.Metrics
}

func newProxy(name string) proxy {
	reg := prometheus.NewRegistry()
	return proxy{name: name, reg: reg, Metrics: metrics.New(reg)}
}

// scrape returns a snapshot of the metrics, taken the given minutes after start.
func (p proxy) scrape(t *testing.T, minutes int) Snapshot {
	t.Helper()
	families, err := p.reg.Gather()
	assert.NilError(t, err)
	var text bytes.Buffer
	for _, f := range families {
		_, err := expfmt.MetricFamilyToText(&text, f)
		assert.NilError(t, err)
	}
	s, err := Parse(p.name, start.Add(time.Duration(minutes)*time.Minute), &text)
	assert.NilError(t, err)
	return s
}

func (p proxy) requests(n int, kind metrics.Kind, by metrics.ServedBy, code codes.Code, took time.Duration) {
	for range n {
		p.ObserveRequest(metrics.Request{
			Service: "stock-ledger", Database: "stock1", Kind: kind, ServedBy: by, Code: code, Took: took,
		})
	}
}

func objectives() config.Document {
	return config.Document{
		Services: []config.Service{{Name: "stock-ledger", Objectives: []config.Objective{
			{Promise: "availability", Target: 0.99},
			{Promise: "latency", Target: 0.9, Threshold: config.Duration(50 * time.Millisecond)},
			{Promise: "age", Target: 0.99},
			{Promise: "replica-share", Target: 0.6},
		}}},
		Groups: []config.Group{{ID: "stock1"}},
	}
}

// scenario returns an hour of two proxies. The failures of vm-1 before its first
// sample must not count. Then all requests succeed until minute 55, after which
// some are late or refused and vm-2 restarts.
func scenario(t *testing.T) *History {
	t.Helper()
	h := &History{}
	a, b := newProxy("vm-1"), newProxy("vm-2")
	a.requests(1000, metrics.KindWrite, metrics.ServedByPrimary, codes.NotConfirmed, time.Second)
	h.Add(b.scrape(t, 0))
	h.Add(a.scrape(t, 0))
	a.requests(300, metrics.KindRead, metrics.ServedByReplica, codes.OK, time.Millisecond)
	b.requests(100, metrics.KindWrite, metrics.ServedByPrimary, codes.OK, time.Millisecond)
	h.Add(a.scrape(t, 55))
	h.Add(b.scrape(t, 55))
	a.requests(50, metrics.KindRead, metrics.ServedByPrimary, codes.OK, 100*time.Millisecond)
	a.requests(40, metrics.KindWrite, metrics.ServedByNone, codes.NoPrimary, time.Millisecond)
	a.requests(10, metrics.KindWrite, metrics.ServedByNone, codes.BadTag, time.Millisecond)
	a.ObserveReadAge("stock-ledger", time.Second, true)
	a.ObserveReadAge("stock-ledger", 9*time.Second, false)
	a.ObserveWriteGap("stock1", 4*time.Second)
	h.Add(a.scrape(t, 60))
	h.Add(newProxy("vm-2").scrape(t, 60)) // after a restart with all counters at 0
	return h
}

func makeReport(t *testing.T) Report {
	t.Helper()
	r, err := Make(scenario(t), objectives(), Options{Short: 5 * time.Minute, Long: time.Hour})
	assert.NilError(t, err)
	return r
}

func TestBurnRateOfEachObjective(t *testing.T) {
	r := makeReport(t)
	assert.Equal(t, r.Sources, 2)
	want := []struct {
		promise                      string
		shortBad, shortTotal         float64
		longBad, longTotal, longBurn float64
		alarm                        Alarm
	}{
		{"availability", 40, 90, 40, 490, 40.0 / 490 / 0.01, AlarmTicket},
		{"latency", 50, 100, 50, 500, 1, AlarmTicket},
		{"age", 1, 2, 1, 2, 50, AlarmPage},
		{"replica-share", 50, 50, 50, 350, 50.0 / 350 / 0.4, AlarmNone},
	}
	for i, w := range want {
		p := r.Services[0].Promises[i]
		assert.Equal(t, p.Promise, w.promise)
		assert.DeepEqual(t, []float64{p.Short.Bad, p.Short.Total, p.Long.Bad, p.Long.Total},
			[]float64{w.shortBad, w.shortTotal, w.longBad, w.longTotal})
		assert.Assert(t, p.Long.Burn > w.longBurn*0.999 && p.Long.Burn < w.longBurn*1.001, "%s: %v", w.promise, p.Long.Burn)
		assert.Equal(t, p.Alarm, w.alarm, w.promise)
	}
}

func TestCausesAndWriteGaps(t *testing.T) {
	r := makeReport(t)
	causes := r.Services[0].Causes
	assert.Equal(t, len(causes), 2)
	assert.Equal(t, causes[0].Code, codes.NoPrimary)
	assert.Equal(t, causes[0].Count, 40.0)
	assert.Assert(t, !causes[0].CallerError)
	assert.Assert(t, causes[1].CallerError)
	assert.DeepEqual(t, r.WriteGaps, []WriteGap{{Group: "stock1", Count: 1, Mean: config.Duration(4 * time.Second)}})
}

func TestWindowReportsCoveredTime(t *testing.T) {
	r, err := Make(scenario(t), objectives(), Options{Short: 5 * time.Minute, Long: 24 * time.Hour})
	assert.NilError(t, err)
	assert.Equal(t, time.Duration(r.Services[0].Promises[0].Long.Covered), time.Hour)
}

func TestResetCountersCountFromZero(t *testing.T) {
	h := &History{}
	before, after := newProxy("vm-1"), newProxy("vm-1")
	before.requests(10, metrics.KindRead, metrics.ServedByReplica, codes.OK, 0)
	h.Add(before.scrape(t, 0))
	after.requests(4, metrics.KindRead, metrics.ServedByReplica, codes.OK, 0)
	h.Add(after.scrape(t, 1))
	r, err := Make(h, objectives(), Options{Short: time.Minute, Long: time.Minute})
	assert.NilError(t, err)
	assert.Equal(t, r.Services[0].Promises[0].Long.Total, 4.0)
}

func TestMakeRejectsSingleSample(t *testing.T) {
	h := &History{}
	h.Add(newProxy("vm-1").scrape(t, 0))
	_, err := Make(h, objectives(), Options{})
	assert.ErrorContains(t, err, "samples of two times")
}

func TestParseRejectsInvalidMetrics(t *testing.T) {
	for _, text := range []string{"<html>", `cranberrystage_requests_total{code="x"} 1` + "\n"} {
		_, err := Parse("vm-1", start, strings.NewReader(text))
		assert.ErrorContains(t, err, "metrics of vm-1")
	}
}

func TestTextAndPageShowEveryObjective(t *testing.T) {
	r := makeReport(t)
	var text, html bytes.Buffer
	assert.NilError(t, r.WriteText(&text))
	assert.NilError(t, r.WriteHTML(&html))
	for _, p := range r.Services[0].Promises {
		assert.Assert(t, strings.Contains(text.String(), p.Promise))
		assert.Assert(t, strings.Contains(html.String(), p.Promise+": burn rate"))
	}
	assert.Assert(t, strings.Contains(text.String(), "cause 201 NoPrimary: 40 requests."), text.String())
	assert.Assert(t, !strings.Contains(html.String(), "http"), "the page refers to other files")
	assertWellFormedPlots(t, html.String())
}

// assertWellFormedPlots parses each SVG of a page as XML.
func assertWellFormedPlots(t *testing.T, html string) {
	t.Helper()
	parts := strings.Split(html, "<svg ")
	assert.Equal(t, len(parts), 5)
	for _, part := range parts[1:] {
		svg, _, ok := strings.Cut(part, "</svg>")
		assert.Assert(t, ok)
		dec := xml.NewDecoder(strings.NewReader("<svg " + svg + "</svg>"))
		for {
			_, err := dec.Token()
			if errors.Is(err, io.EOF) {
				break
			}
			assert.NilError(t, err)
		}
	}
}
